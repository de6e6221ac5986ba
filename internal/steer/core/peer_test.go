package core_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// Guards against an entry that keeps relaying to a killed one until its membership notices, and against
// one that is never tried again.
func TestRelaysToAKilledEntryPause(t *testing.T) {
	f := fields(8, 4)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: everyone(f), Confirmed: true}
	at := start.Add(-100 * time.Millisecond)
	relays := func(d time.Duration, r decision.Result) (n int) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(100 * time.Millisecond)
			// The hold after the start keeps this entry's own gates closed at first; a request that avoids its targets is relayed.
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
					ch.Done(r)
				}
			}
		}
		return n
	}
	if n := relays(3*time.Second, decision.Result{Kind: decision.Answered}); n < 30 {
		t.Fatalf("%d relays in 3 s to a peer that answers", n)
	}
	if n := relays(5*time.Second, decision.Result{Kind: decision.Failed, Unopened: true}); n < 2 || n > 4 {
		t.Errorf("%d relays in 5 s to a peer that refuses connections, want a first one and few probes", n)
	}
	relays(4*time.Second, decision.Result{Kind: decision.Answered})
	if n := relays(time.Second, decision.Result{Kind: decision.Answered}); n < 10 {
		t.Errorf("%d relays in 1 s after a probe was answered, want all of them", n)
	}
	relays(time.Second, decision.Result{Kind: decision.Failed})
	if n := relays(time.Second, decision.Result{Kind: decision.Answered}); n < 10 {
		t.Errorf("%d relays in 1 s after cut responses, which do not prove that the peer is gone", n)
	}
}
