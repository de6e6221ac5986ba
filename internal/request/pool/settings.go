package pool

import (
	"fmt"
	"net/http"
	"time"
)

// Settings are the limits of a pool; a zero value stands for the default.
type Settings struct {
	Conns    int           // Conns is the most connections per address when a call names no other: 4 to 400, default 400.
	Progress time.Duration // Progress is the longest wait for a byte: 100 ms to 1 min, default 5 s.
	Ask      time.Duration // Ask is the wait for a response before the other side is asked about the attempt: 50 ms to 30 s, default 2 s.
	Idle     time.Duration // Idle is the age at which an unused connection is probed before an order: 1 s to 5 min, default 10 s.
	Keep     time.Duration // Keep is the age at which an unused connection is closed: 1 s to 10 min, default 55 s.
	Head     int64         // Head is the largest response header in bytes: 1 KiB to 1 MiB, default 64 KiB.
	Header   http.Header   // Header is added to probes and questions about attempts.
}

const (
	maxConns = 400
	// sideConns are kept back from requests, so that questions about attempts
	// and cancellations pass when every other connection waits.
	sideConns = 2
)

type span[T int | int64 | time.Duration] struct {
	name          string
	value         *T
	low, high, by T
}

func (s span[T]) check() error {
	if *s.value == 0 {
		*s.value = s.by
	}
	if *s.value < s.low || *s.value > s.high {
		return fmt.Errorf("pool: %s is %v, accepted is %v to %v", s.name, *s.value, s.low, s.high)
	}
	return nil
}

// Check returns the settings with defaults filled in, or an error that names the value and its range.
func (s Settings) Check() (Settings, error) {
	for _, err := range []error{
		span[int]{"Conns", &s.Conns, 4, maxConns, maxConns}.check(),
		span[time.Duration]{"Progress", &s.Progress, 100 * time.Millisecond, time.Minute, 5 * time.Second}.check(),
		span[time.Duration]{"Ask", &s.Ask, 50 * time.Millisecond, 30 * time.Second, 2 * time.Second}.check(),
		span[time.Duration]{"Idle", &s.Idle, time.Second, 5 * time.Minute, 10 * time.Second}.check(),
		span[time.Duration]{"Keep", &s.Keep, time.Second, 10 * time.Minute, 55 * time.Second}.check(),
		span[int64]{"Head", &s.Head, 1 << 10, 1 << 20, 64 << 10}.check(),
	} {
		if err != nil {
			return s, err
		}
	}
	return s, nil
}
