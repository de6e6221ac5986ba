package refusal_test

import (
	"testing"
	"time"

	"tamarackspool/internal/steer/refusal"
)

// middle is the position of a delay that is neither early nor late.
const middle = 0.5

// Guards against callers refused together that return together or beyond what was served lately, against less urgent ones that
// return before urgent ones, and against a delay beyond the time that the caller waits.
func TestReturnsArriveAtTheServedRate(t *testing.T) {
	const limit = time.Second
	var r refusal.Returns
	now := time.Unix(100, 0)
	seen := refusal.Shortage{Served: 10, Shed: 0.1}
	var last time.Duration
	for i, priority := range []int{0, 0, 0, 2, 2} {
		d := r.Delay(priority, seen, 0, limit, now)
		if at := d.At(middle); at < last+50*time.Millisecond || d.At(1) > limit {
			t.Errorf("caller %d returns after %v to %v, the one before after %v", i, d.At(0), d.At(1), last)
		}
		last = d.At(middle)
	}
	if at := r.Delay(1, seen, 0, limit, now).At(middle); at >= last {
		t.Errorf("a more urgent caller returns after %v, a less urgent one after %v", at, last)
	}
	for range 100 {
		if d := r.Delay(2, seen, 0, limit, now); d.At(1) > limit || d.At(0) < refusal.MinDelay {
			t.Fatalf("delay of %v to %v with a limit of %v", d.At(0), d.At(1), limit)
		}
	}
	if at := r.Delay(0, seen, 700*time.Millisecond, limit, now).At(1); at < 700*time.Millisecond {
		t.Errorf("returns after %v, before a target is expected to be free enough", at)
	}
}

// Guards against short delays while most attempts are rejected, and against a service of which nothing was served lately.
func TestReturnsFollowTheRejections(t *testing.T) {
	now := time.Unix(100, 0)
	var few, most, none refusal.Returns
	a := few.Delay(1, refusal.Shortage{Served: 10, Shed: 0.1}, 0, time.Second, now).At(middle)
	b := most.Delay(1, refusal.Shortage{Served: 10, Shed: 0.9}, 0, time.Second, now).At(middle)
	c := none.Delay(1, refusal.Shortage{Shed: 1}, 0, time.Second, now).At(middle)
	if a > 150*time.Millisecond || b < 500*time.Millisecond || c < 750*time.Millisecond {
		t.Errorf("%v with few rejections, %v with many, %v without answers", a, b, c)
	}
}
