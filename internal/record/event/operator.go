package event

// The operator events.
const (
	PatchApplied Number = 5001
)

var operator = []Entry{
	{PatchApplied, "patch-applied", "a patch was accepted as a new version", "none"},
}
