package main

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against an uptime below CLOCK_MONOTONIC, which does not count system suspend.
func TestUptimeIsAtLeastMonotonicClock(t *testing.T) {
	for range 100 {
		var monotonic unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
			t.Fatal(err)
		}
		if got, least := uptime(), time.Duration(monotonic.Nano()); got < least {
			t.Fatalf("uptime is %v, the monotonic clock is %v", got, least)
		}
	}
}
