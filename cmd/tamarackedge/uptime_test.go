package main

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a clock that counts less than the steady one, which leaves out suspensions.
func TestUptimeCountsAtLeastTheSteadyClock(t *testing.T) {
	for range 100 {
		var steady unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
			t.Fatal(err)
		}
		if got, least := uptime(), time.Duration(steady.Nano()); got < least {
			t.Fatalf("%v, the steady clock has %v", got, least)
		}
	}
}
