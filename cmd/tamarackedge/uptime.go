package main

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the fallback clock, used when the kernel has no CLOCK_BOOTTIME.
var processStart = time.Now()

// uptime returns the time since boot including system suspend, which Go's monotonic clock does not count.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
