package split

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// The backoff before an entry to which no connection could be opened is tried
// again. The membership detects a killed entry only after 1.5 s and reassigns its
// targets after 5 s; until then every relay to it costs an attempt.
const (
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
)

// updateReachability records the entries to which connections failed or succeeded
// since the last tick and returns those that are down, by name.
func updateReachability(now time.Time, t *table.Tables) map[string]*table.Entry {
	var failed, reached map[string]bool
	for i := range t.Peers {
		p := &t.Peers[i]
		if p.Unopened > 0 {
			failed = addName(failed, p.Entry)
		}
		if p.Reached > 0 {
			reached = addName(reached, p.Entry)
		}
	}
	var down map[string]*table.Entry
	for i := range t.Entries {
		e := &t.Entries[i]
		name := e.Spec.Name()
		switch {
		case failed[name]:
			e.FailedTicks++
			e.RetryAt = now.Add(min(maxBackoff, initialBackoff<<min(8, e.FailedTicks-1)))
		case reached[name]:
			e.FailedTicks, e.RetryAt = 0, time.Time{}
		}
		if e.FailedTicks > 0 {
			if down == nil {
				down = make(map[string]*table.Entry)
			}
			down[name] = e
		}
	}
	return down
}

func addName(m map[string]bool, name string) map[string]bool {
	if m == nil {
		m = make(map[string]bool)
	}
	m[name] = true
	return m
}

// probeLimit allows no relays to an entry that is down until the backoff ends. It
// then allows one relay for each service, which either restores the entry or
// starts a longer backoff.
func probeLimit(now time.Time, e *table.Entry, p *table.Peer) int {
	if now.Before(e.RetryAt) {
		return 0
	}
	return min(p.Limit, 1)
}
