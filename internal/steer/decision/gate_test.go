package decision_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/steer/decision"
)

var start = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

func snapshot(slots int, closed bool) (*decision.Snapshot, *decision.Gate) {
	gate, total := &decision.Gate{}, &decision.Gate{}
	gate.SetLimit(slots)
	total.SetLimit(-1)
	return decision.New(decision.Fields{
		At: start, Region: "ege", Total: total, Closed: closed,
		Services: []decision.Service{{
			Spec:    document.NewService(document.ServiceFields{Name: "status"}),
			Gates:   []decision.Slot{{Target: document.NewTarget(document.TargetFields{Name: "status-1"}), Gate: gate, Cost: 1}},
			Retries: &decision.RetryBudget{}, ExpectedLatency: 100 * time.Millisecond,
		}},
	}), gate
}

// Guards against a target that gets more requests than slots because of concurrent decisions.
func TestConcurrentChoicesStayWithinSlots(t *testing.T) {
	s, gate := snapshot(3, false)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for k := range 500 {
				c, err := s.Choose(decision.Request{Service: "status", Now: start}, uint64(i*k))
				if err != nil {
					continue
				}
				if n := gate.InFlight(); n > 3 {
					t.Errorf("%d requests in 3 slots", n)
				}
				c.Release(decision.Result{Kind: decision.Answered})
			}
		})
	}
	wg.Wait()
	if gate.InFlight() != 0 {
		t.Errorf("%d slots are still in use after all requests have ended", gate.InFlight())
	}
}

// Guards against a slot that is released twice and then holds two requests.
func TestReleaseCountsOnce(t *testing.T) {
	s, gate := snapshot(2, false)
	c, _ := s.Choose(decision.Request{Service: "status", Now: start}, 1)
	c.Release(decision.Result{Kind: decision.Answered})
	c.Release(decision.Result{Kind: decision.Answered})
	if gate.InFlight() != 0 {
		t.Errorf("in flight = %d after a repeated Release, want 0", gate.InFlight())
	}
}

// Guards against refusals with a wrong reason, and against a request that starts although it cannot meet its deadline.
func TestRefusals(t *testing.T) {
	open, _ := snapshot(1, false)
	closed, _ := snapshot(1, true)
	full, _ := snapshot(0, false)
	request := decision.Request{Service: "status", Now: start}
	late := request
	late.Deadline = start.Add(10 * time.Millisecond)
	unknown := request
	unknown.Service = "gifts"
	for _, c := range []struct {
		snapshot *decision.Snapshot
		request  decision.Request
		want     verdict.Reason
	}{
		{open, late, verdict.ReasonDeadline},
		{open, unknown, verdict.ReasonBadInput},
		{closed, request, verdict.ReasonIsolated},
		{full, request, verdict.ReasonNoCapacity},
	} {
		_, err := c.snapshot.Choose(c.request, 1)
		v, ok := errors.AsType[*verdict.Error](err)
		if !ok || v.Reason() != c.want || v.Verdict() != verdict.NotRun {
			t.Errorf("Choose(%+v) = %v, want not-run with %s", c.request, err, c.want)
		}
	}
}

// Guards against streams that exceed the rate and the burst of a bucket.
func TestBucketLimitsTheRate(t *testing.T) {
	b := decision.NewBucket(start)
	b.SetRate(1e6)
	var sent int64
	for now := start; now.Before(start.Add(time.Second)); {
		sent += 10_000
		now = now.Add(max(time.Microsecond, b.ChargeSent(now, 10_000)))
	}
	if most := int64(1.07e6); sent > most || sent < 1e6 {
		t.Errorf("%d bytes in a second at 1e6 bytes/s", sent)
	}
	b.SetRate(0)
	if b.Open(start.Add(time.Hour)) {
		t.Error("a bucket without a rate is open")
	}
}

// Guards against bytes that pass a closed bucket uncharged after a wait.
func TestClosedBucketBlocksAllBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := decision.NewBucket(time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := b.WaitSent(ctx, 1000); err == nil {
			t.Error("1000 bytes passed a bucket without a rate")
		}
		b.SetRate(1e6)
		b.Expire(time.Now().Add(-time.Millisecond))
		short, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		if err := b.WaitReceived(short, 1000); err == nil {
			t.Error("1000 bytes passed a bucket whose rate has expired")
		}
		b.Expire(time.Now().Add(time.Second))
		if err := b.WaitReceived(t.Context(), 1000); err != nil || b.Used() != 1000 {
			t.Errorf("open bucket: error %v, bytes charged differ from 1000", err)
		}
	})
}
