package health_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/internal/steer/health"
)

// Guards against a zone that counts as cold because of too few targets or of targets that turned cold one by one, and against a zone that counts as cold too late.
func TestZonesCountAsColdWhenAThirdOfTheirTargetsAre(t *testing.T) {
	for _, c := range []struct {
		targets int
		pause   time.Duration
		want    int // want is the target, counted from 1, at which the zone counts as cold; 0 if it does not within 10 targets.
	}{
		{1, 0, 0},
		{2, 0, 2},
		{3, 0, 2},
		{7, 20 * time.Millisecond, 3},
		{9, 0, 3},
		{10, 0, 4},
		{7, 500 * time.Millisecond, 3},
		{7, 600 * time.Millisecond, 0},
	} {
		var detector health.ZoneColdDetector
		now, got := time.Unix(1000, 0), 0
		for i := 1; i <= min(c.targets, 10) && got == 0; i++ {
			// A second report of the same target must not count.
			detector.RecordCold(fmt.Sprint("t", i), c.targets, now)
			if detector.RecordCold(fmt.Sprint("t", i), c.targets, now) {
				got = i
			}
			now = now.Add(c.pause)
		}
		if got != c.want {
			t.Errorf("%d targets, pause %v: cold with target %d, want %d", c.targets, c.pause, got, c.want)
		}
	}
}
