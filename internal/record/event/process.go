package event

// The process events.
const (
	Started Number = 1001
)

var process = []Entry{
	{Started, "started", "the process has started", "none"},
}
