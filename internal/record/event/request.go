package event

// The request events.
const (
	TargetLost       Number = 4002
	ConnectionSilent Number = 4003
	AnswerCut        Number = 4004
)

var request = []Entry{
	{TargetLost, "target-lost", "a target does not answer", "check the target VM"},
	{ConnectionSilent, "connection-silent", "a connection carries no bytes while it stays open; it and the older ones to the same address were closed", "check the network between the entry and the address if it repeats"},
	{AnswerCut, "answer-cut", "a response ended before it was complete", "check the target VM"},
}
