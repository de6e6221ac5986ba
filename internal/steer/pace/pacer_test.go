package pace_test

import (
	"testing"
	"time"

	"tamarackspool/internal/steer/pace"
)

// Guards against requests to a cold target above its rate, also after a pause, and against no requests at all.
func TestTakeKeepsTheRate(t *testing.T) {
	var p pace.Pacer
	now := time.Unix(100, 0)
	for second := range 5 {
		sent := 0
		for range 100 {
			if p.Take(3.6, now) {
				sent++
			}
			now = now.Add(10 * time.Millisecond)
		}
		if sent < 3 || sent > 4 {
			t.Errorf("second %d: %d requests, want 3 or 4", second, sent)
		}
		now = now.Add(5 * time.Second)
	}
	if p.Take(0, now.Add(time.Hour)) {
		t.Error("a target without a rate got a request")
	}
}
