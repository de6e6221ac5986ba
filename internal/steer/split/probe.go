package split

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// Pauses before an entry to which no connection could be opened is tried again.
// Membership notices a killed entry only after 1.5 s and gives its targets away
// after 5 s; until then every relay to it costs an attempt.
const (
	pause   = time.Second
	longest = 4 * time.Second
)

// unopened notes the entries to which connections failed or succeeded since
// the last tick and returns those that are down, by name.
func unopened(now time.Time, t *table.Tables) map[string]*table.Entry {
	var failed, reached map[string]bool
	for i := range t.Peers {
		p := &t.Peers[i]
		if p.Unopened > 0 {
			failed = mark(failed, p.Entry)
		}
		if p.Reached > 0 {
			reached = mark(reached, p.Entry)
		}
	}
	var down map[string]*table.Entry
	for i := range t.Entries {
		e := &t.Entries[i]
		name := e.Spec.Name()
		switch {
		case failed[name]:
			e.Down++
			e.Retry = now.Add(min(longest, pause<<min(8, e.Down-1)))
		case reached[name]:
			e.Down, e.Retry = 0, time.Time{}
		}
		if e.Down > 0 {
			if down == nil {
				down = make(map[string]*table.Entry)
			}
			down[name] = e
		}
	}
	return down
}

func mark(m map[string]bool, name string) map[string]bool {
	if m == nil {
		m = make(map[string]bool)
	}
	m[name] = true
	return m
}

// probe keeps relays from an entry that is down and then lets one through for
// each service, which either restores the entry or starts a longer pause.
func probe(now time.Time, e *table.Entry, p *table.Peer) int {
	if now.Before(e.Retry) {
		return 0
	}
	return min(p.Limit, 1)
}
