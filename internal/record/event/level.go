package event

import "fmt"

// Level selects which events are written.
type Level int

// The levels. Each one includes the events of those before it.
const (
	LevelNone     Level = iota // LevelNone writes nothing.
	LevelState                 // LevelState writes changes of the process and of its view of the system.
	LevelRequests              // LevelRequests also writes each decision on a request.
)

// ParseLevel returns the level with the name, or an error that lists the names.
func ParseLevel(name string) (Level, error) {
	for level, known := range map[Level]string{LevelNone: "none", LevelState: "beliefs", LevelRequests: "requests"} {
		if name == known {
			return level, nil
		}
	}
	return LevelNone, fmt.Errorf("event: unknown level %q; accepted are none, beliefs, requests", name)
}

// The range of the numbers of request events.
const (
	firstRequest Number = 4000
	lastRequest  Number = 4999
)

// includes reports whether the level includes the event.
func (l Level) includes(n Number) bool {
	if n >= firstRequest && n <= lastRequest {
		return l >= LevelRequests
	}
	return l >= LevelState
}
