package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/entry/queue"
)

// Guards against a freed slot that is given to a request of a lower priority, or to none.
func TestBestRankIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := queue.New()
		var served []int
		slots := 0
		for _, priority := range []int{2, 0, 1} {
			go q.Wait(t.Context(), queue.Rank{Priority: priority}, time.Second, func() bool {
				if slots == 0 {
					return false
				}
				slots--
				served = append(served, priority)
				return true
			})
			synctest.Wait()
		}
		for range 3 {
			slots++
			q.Wake()
			synctest.Wait()
		}
		if len(served) != 3 || served[0] != 0 || served[1] != 1 || served[2] != 2 {
			t.Errorf("served = %v, want [0 1 2]", served)
		}
	})
}

// Guards against a request that waits longer than its maximum wait or its context allows.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := queue.New()
		start := time.Now()
		if q.Wait(t.Context(), queue.Rank{}, 30*time.Millisecond, func() bool { return false }) {
			t.Error("Wait reported success")
		}
		if d := time.Since(start); d != 30*time.Millisecond {
			t.Errorf("waited %v, want 30 ms", d)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if q.Wait(ctx, queue.Rank{}, time.Hour, func() bool { return false }) {
			t.Error("Wait reported success after its context ended")
		}
	})
}
