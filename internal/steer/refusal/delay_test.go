package refusal_test

import (
	"testing"
	"time"

	"tamarackspool/internal/steer/refusal"
)

// Guards against callers who are told to come back before a pause of all targets ends, or all in the same moment.
func TestDelaysAfterAPauseDoNotEndBeforeIt(t *testing.T) {
	for _, pause := range []time.Duration{time.Millisecond, time.Second, 8 * time.Second} {
		d := refusal.AfterPause(pause)
		if first, last := d.At(0), d.At(1); first != pause || last < pause+refusal.MinDelay || last > pause+pause/4+refusal.MinDelay {
			t.Errorf("pause %v: from %v to %v", pause, first, last)
		}
	}
	if d := refusal.Around(time.Second); d.At(0) != 500*time.Millisecond || d.At(1) != 1500*time.Millisecond {
		t.Errorf("around a second: from %v to %v", d.At(0), d.At(1))
	}
	if d := (refusal.Delay{}); d.At(1) != 0 {
		t.Errorf("at once: %v", d.At(1))
	}
}
