package core_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// Guards against a memory leak of gates of removed targets, and against a gate that loses its count of
// requests in flight when its target is removed and added again.
func TestGatesOfRemovedTargets(t *testing.T) {
	all, fewer := fields(8, 4), fields(2, 4)
	c := newCore()
	in := &table.Input{Document: document.New(all), Members: allAlive(all), Confirmed: true}
	s := run(c, start, 5*time.Second, in)
	before := c.GateCount()
	held, err := s.Choose(decision.Request{Service: "status", Now: start.Add(5 * time.Second), Avoid: []string{"ege-t0", "ege-t1"}, Relayed: true}, 1)
	if err != nil {
		t.Fatal(err)
	}
	in.Document = document.New(fewer)
	c.Step(start.Add(5100*time.Millisecond), in)
	if n := before - c.GateCount(); n != 5 {
		t.Errorf("%d gates freed after 6 targets were removed, one of them with a request in flight, want 5", n)
	}
	in.Document = document.New(all)
	s = c.Step(start.Add(5200*time.Millisecond), in)
	target, _ := held.Target()
	for _, st := range s.Status().Targets {
		if st.Name == target.Name() && st.InFlight != 1 {
			t.Errorf("%d requests counted at %s after it was removed and added again, want 1", st.InFlight, st.Name)
		}
	}
	held.Release(decision.Result{Kind: decision.Answered})
	in.Document = document.New(fewer)
	c.Step(start.Add(5300*time.Millisecond), in)
	if n := before - c.GateCount(); n != 6 {
		t.Errorf("%d gates freed after the request has ended, want 6", n)
	}
}
