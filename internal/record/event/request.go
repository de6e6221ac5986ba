package event

// The request events.
const (
	TargetLost Number = 4002
)

var request = []Entry{
	{TargetLost, "target-lost", "a target does not answer", "check the target VM"},
}
