package event

import "fmt"

// Level says which events are written.
type Level int

// The levels, each with the events of those before it.
const (
	Silent   Level = iota // Silent writes nothing.
	Beliefs               // Beliefs writes what changes the process or its beliefs.
	Requests              // Requests writes each decision on a request too.
)

// ParseLevel returns the level with the name, or an error that lists the names.
func ParseLevel(name string) (Level, error) {
	for level, known := range map[Level]string{Silent: "none", Beliefs: "beliefs", Requests: "requests"} {
		if name == known {
			return level, nil
		}
	}
	return Silent, fmt.Errorf("event: level %q is none of none, beliefs, requests", name)
}

// The numbers of request events lie between these.
const (
	firstRequest Number = 4000
	lastRequest  Number = 4999
)

// writes reports whether the level writes the event.
func (l Level) writes(n Number) bool {
	if n >= firstRequest && n <= lastRequest {
		return l >= Requests
	}
	return l >= Beliefs
}
