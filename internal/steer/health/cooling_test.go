package health_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/internal/steer/health"
)

// Guards against a zone that is taken for cold because of a few of its targets, or of ones that cooled down one by one, or too late.
func TestZonesCoolWhenAThirdOfTheirTargetsDo(t *testing.T) {
	for _, c := range []struct {
		targets int
		pause   time.Duration
		want    int // want is the target with which the zone is taken for cold, counted from 1; 0 for none of 10.
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
		var cooling health.Cooling
		now, got := time.Unix(1000, 0), 0
		for i := 1; i <= min(c.targets, 10) && got == 0; i++ {
			// A second word on the same target says nothing new.
			cooling.Note(fmt.Sprint("t", i), c.targets, now)
			if cooling.Note(fmt.Sprint("t", i), c.targets, now) {
				got = i
			}
			now = now.Add(c.pause)
		}
		if got != c.want {
			t.Errorf("%d targets, pause %v: cold with target %d, want %d", c.targets, c.pause, got, c.want)
		}
	}
}
