package event

// The operator events.
const (
	PatchApplied   Number = 5001
	PatchRefused   Number = 5002
	PatchUnknown   Number = 5003
	OperatorDenied Number = 5004
)

var operator = []Definition{
	{PatchApplied, "patch-applied", "a patch was committed as a new version", "none"},
	{PatchRefused, "patch-refused", "a patch was refused and changed nothing", "read the reason and submit a new patch"},
	{PatchUnknown, "patch-unknown", "a patch was sent to the key-value service and its outcome is unknown", "submit the same patch again with the same id"},
	{OperatorDenied, "operator-denied", "a call to the operators' API had no valid token", "check who calls the operators' port"},
}
