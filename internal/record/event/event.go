package event

import (
	"slices"

	"github.com/go-kit/log"
)

// Number permanently identifies a kind of event; a number is never reused for another meaning.
type Number int

// Definition describes a kind of event in the catalogue.
type Definition struct {
	number  Number
	name    string
	meaning string
	action  string
}

// Number returns the event's number.
func (e Definition) Number() Number { return e.number }

// Name returns the short name that the log line contains.
func (e Definition) Name() string { return e.name }

// Meaning returns a description of what has happened.
func (e Definition) Meaning() string { return e.meaning }

// Action returns what an operator should do, or "none".
func (e Definition) Action() string { return e.action }

// Catalogue returns all kinds of events by ascending number.
func Catalogue() []Definition {
	all := slices.Concat(process, configuration, membership, steering, request, operator)
	slices.SortFunc(all, func(a, b Definition) int { return int(a.number) - int(b.number) })
	return all
}

// Log writes numbered events as log lines. It is safe for concurrent use.
type Log struct {
	out   log.Logger
	level Level
	names map[Number]string
}

// New returns a log that writes all events to out.
func New(out log.Logger) *Log {
	names := make(map[Number]string)
	for _, e := range Catalogue() {
		names[e.number] = e.name
	}
	return &Log{out: out, level: LevelRequests, names: names}
}

// WithLevel returns a log with the same output that writes only the events of the level.
func (l *Log) WithLevel(level Level) *Log { return &Log{out: l.out, level: level, names: l.names} }

// Log writes the event with the given keys and values, which alternate.
func (l *Log) Log(n Number, keyvals ...any) {
	if !l.level.includes(n) {
		return
	}
	line := append([]any{"event", int(n), "name", l.names[n]}, keyvals...)
	// A failure to write the log must not fail requests.
	_ = l.out.Log(line...)
}
