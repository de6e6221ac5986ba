package core_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// Guards against relays to a killed entry before the membership detects its failure, and against an entry
// that gets no relays again after it has recovered.
func TestRelaysToAKilledEntryPause(t *testing.T) {
	f := fields(8, 4)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	at := start.Add(-100 * time.Millisecond)
	relays := func(d time.Duration, r decision.Result) (n int) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(100 * time.Millisecond)
			// A request that avoids this entry's own targets is relayed. Their gates are also closed during the hold after the start.
			s := c.Step(at, in)
			var avoid []string
			for _, o := range s.Owned() {
				avoid = append(avoid, o.Name())
			}
			avoid = append(avoid, "ege-a-1", "ege-b-1")
			for draw := range uint64(5) {
				ch, err := s.Choose(decision.Request{Service: "status", Now: at, Avoid: avoid}, draw<<8)
				if err == nil && ch.Entry() == "ege-b-0" {
					n++
					ch.Release(r)
				}
			}
		}
		return n
	}
	if n := relays(3*time.Second, decision.Result{Kind: decision.Answered}); n < 30 {
		t.Fatalf("%d relays in 3 s to a peer that answers", n)
	}
	if n := relays(5*time.Second, decision.Result{Kind: decision.Failed, Unopened: true}); n < 2 || n > 4 {
		t.Errorf("%d relays in 5 s to a peer that refuses connections, want one and a few probes", n)
	}
	relays(4*time.Second, decision.Result{Kind: decision.Answered})
	if n := relays(time.Second, decision.Result{Kind: decision.Answered}); n < 10 {
		t.Errorf("%d relays in 1 s after a successful probe, want at least 10", n)
	}
	relays(time.Second, decision.Result{Kind: decision.Failed})
	if n := relays(time.Second, decision.Result{Kind: decision.Answered}); n < 10 {
		t.Errorf("%d relays in 1 s after truncated responses, want at least 10: these do not mean that the peer has failed", n)
	}
}
