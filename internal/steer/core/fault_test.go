package core_test

import (
	"slices"
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

func hasEvent(s *decision.Snapshot, n event.Number) bool {
	return slices.ContainsFunc(s.Status().Events, func(e decision.Event) bool { return e.Number == n })
}

// Guards against a planned drain that removes the last working targets of a region whose other targets have failed.
func TestDrainIsDelayedByFailedTargets(t *testing.T) {
	f := fields(4, 2)
	f.Entries = f.Entries[:1]
	drained := f.Targets[:2]
	f.Drains = []document.Drain{document.NewDrain(document.DrainFields{
		Name: "weekly", Targets: []string{drained[0].Name(), drained[1].Name()}, Start: start.Add(6 * time.Second),
	})}
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	at := start
	delayed := false
	for ; at.Before(start.Add(6200 * time.Millisecond)); at = at.Add(100 * time.Millisecond) {
		s := c.Step(at, in)
		delayed = delayed || hasEvent(s, event.DrainDelayed)
		for draw := range uint64(8) {
			ch, err := s.Choose(decision.Request{Service: "status", Now: at, Avoid: []string{drained[0].Name(), drained[1].Name()}}, draw)
			if err == nil {
				ch.Release(decision.Result{Kind: decision.Failed})
			}
		}
	}
	if !delayed {
		t.Error("no event for a drain below the keep fraction")
	}
	for _, st := range c.Step(at, in).Status().Targets {
		if st.Leaving != "" {
			t.Errorf("%s is draining although all other targets of the region have failed", st.Name)
		}
	}
}

// Guards against false load reports that close a target's gate or raise its limit above its slots.
func TestFalseReportsDoNotCloseTheGate(t *testing.T) {
	for _, busy := range []int{0, 4, -3, 1 << 40} {
		f := fields(8, 4)
		c := newCore()
		in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
		var s *decision.Snapshot
		for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
			in.Reports = nil
			for _, target := range f.Targets {
				in.Reports = append(in.Reports, table.Report{Target: target.Name(), Busy: busy, Slots: 4, At: at})
			}
			s = c.Step(at, in)
			for draw := range uint64(4) {
				if ch, err := s.Choose(decision.Request{Service: "status", Now: at, Relayed: true}, draw); err == nil {
					ch.Release(decision.Result{Kind: decision.Answered, Latency: time.Millisecond})
				}
			}
		}
		for _, st := range s.Status().Targets {
			if st.Limit < 1 || st.Limit > 4 {
				t.Errorf("reports of %d busy slots give %s a limit of %d of 4 slots", busy, st.Name, st.Limit)
			}
		}
	}
}

// Guards against gates and shares that stay in use after the clock runs backwards or the process is paused.
func TestClockAndPause(t *testing.T) {
	f := fields(8, 4)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	run(c, start, 5*time.Second, in)
	if s := c.Step(start, in); !hasEvent(s, event.ClockBackwards) {
		t.Error("no event for time that runs backwards")
	}
	in.Confirmed = false
	s := c.Step(start.Add(8*time.Second), in)
	if !hasEvent(s, event.TickGap) || !s.Status().Closed || s.Link("marmara").Rate() != 0 {
		t.Error("an entry that was paused uses its gates or shares before a peer has confirmed it")
	}
	s = run(c, start.Add(8100*time.Millisecond), 4*time.Second, in)
	if s.Status().Closed || s.Link("marmara").Rate() != 0 {
		t.Error("after 3 s without a peer the gates are closed or the shares are in use")
	}
	in.Confirmed = true
	if s = c.Step(start.Add(12200*time.Millisecond), in); s.Link("marmara").Rate() == 0 {
		t.Error("a confirmed entry does not use its shares")
	}
	if s = c.Step(start.Add(15*time.Second), in); !s.Status().Closed {
		t.Error("a confirmation from before the pause opens the gates")
	}
	if s := core.New(core.Settings{Entry: "x"}).Step(start, nil); !hasEvent(s, event.InputMissing) {
		t.Error("no event for a tick without a configuration")
	}
}

// Guards against a loan that lets the lender and the borrower use the same rate.
func TestLoanNeverDoublesTheShare(t *testing.T) {
	f := fields(8, 4)
	lender := newCore()
	borrower := core.New(core.Settings{Entry: "ege-b-0", Region: "ege", Zone: "ege-b"})
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true, Loans: []table.Loan{{
		From: "ege-a-0", To: "ege-b-0", A: "ege", B: "marmara", Rate: 4e5, Until: start.Add(25 * time.Second),
	}}}
	lent := false
	// Entries use half of their shares in the first 16 s after the start, so the loan must be longer.
	for at := start; at.Before(start.Add(28 * time.Second)); at = at.Add(100 * time.Millisecond) {
		a, b := lender.Step(at, in).Link("marmara").Rate(), borrower.Step(at, in).Link("marmara").Rate()
		lent = lent || b > 1e6
		if a+b > 2e6 {
			t.Fatalf("lender %d and borrower %d exceed the sum of their shares", a, b)
		}
	}
	if !lent {
		t.Error("the borrower never used the loan")
	}
}

// Guards against a target that gets no request for up to half a minute after its return: each of the requests that
// failed at the same time used to double the wait before the next one.
func TestReturnedTargetsAreTriedSoon(t *testing.T) {
	const longestWait = 4 * time.Second
	for _, down := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 50 * time.Second} {
		f := fields(1, 4)
		f.Entries = f.Entries[:1]
		c := newCore()
		in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
		at := start
		// request sends 16 requests at once and returns how many of them a target of this entry got.
		request := func(result decision.Result) int {
			at = at.Add(100 * time.Millisecond)
			s := c.Step(at, in)
			var sent []*decision.Choice
			for draw := range uint64(16) {
				if ch, err := s.Choose(decision.Request{Service: "status", Now: at, Relayed: true}, draw); err == nil {
					sent = append(sent, &ch)
				}
			}
			for _, ch := range sent {
				ch.Release(result)
			}
			return len(sent)
		}
		for range 100 {
			request(decision.Result{Kind: decision.Answered, Latency: time.Millisecond})
		}
		for back := at.Add(down); at.Before(back); {
			request(decision.Result{Kind: decision.Failed, Unopened: true})
		}
		back := at
		for request(decision.Result{Kind: decision.Answered, Latency: time.Millisecond}) == 0 && at.Sub(back) < time.Minute {
		}
		if wait := at.Sub(back); wait > longestWait {
			t.Errorf("down for %v: the first request was sent %v after the return, want %v at most", down, wait, longestWait)
		}
	}
}
