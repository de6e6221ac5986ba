package event

// The configuration events.
const (
	StoreUnavailable Number = 2001
)

var configuration = []Entry{
	{StoreUnavailable, "store-unavailable", "the key-value service does not answer", "check the platform; requests go on, patches and new caller-chosen keys are refused"},
}
