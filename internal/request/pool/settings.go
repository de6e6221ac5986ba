package pool

import (
	"fmt"
	"net/http"
	"time"

	"tamarackspool/internal/record/event"
)

// Settings are the limits of a pool; each zero value is replaced by the default.
type Settings struct {
	Conns    int           // Conns is the maximum number of connections per address unless a call sets its own: 4 to 400, default 400.
	Progress time.Duration // Progress is the timeout of a read or write without progress: 100 ms to 1 min, default 5 s.
	Ask      time.Duration // Ask is the wait for a response before the state of the attempt is queried, and the timeout of the query: 50 ms to 30 s, default 2 s.
	Idle     time.Duration // Idle is the idle time after which a connection is probed before a call with ProbeIdle: 1 s to 5 min, default 10 s.
	Keep     time.Duration // Keep is the idle time after which a connection is closed: 1 s to 10 min, default 55 s.
	Head     int64         // Head is the maximum size of a response header in bytes: 1 KiB to 1 MiB, default 64 KiB.
	Header   http.Header   // Header is added to probes and to queries about attempts.
	Events   Logger        // Events receives a line when the answer to a probe or query is rejected, at most one a second; it may be nil.
}

// Logger writes the events of a pool and must be safe for concurrent use.
type Logger interface {
	Log(n event.Number, fields ...any)
}

const (
	maxConns = 400
	// reservedConns is the number of connections that requests may not use, so that queries about
	// attempts and cancellations get a connection while all others wait for a response.
	reservedConns = 2
)

type bounds[T int | int64 | time.Duration] struct {
	name                    string
	value                   *T
	low, high, defaultValue T
}

func (s bounds[T]) check() error {
	if *s.value == 0 {
		*s.value = s.defaultValue
	}
	if *s.value < s.low || *s.value > s.high {
		return fmt.Errorf("pool: %s is %v, must be between %v and %v", s.name, *s.value, s.low, s.high)
	}
	return nil
}

// Check returns the settings with defaults filled in, or an error that names the value and its range.
func (s Settings) Check() (Settings, error) {
	for _, err := range []error{
		bounds[int]{"Conns", &s.Conns, 4, maxConns, maxConns}.check(),
		bounds[time.Duration]{"Progress", &s.Progress, 100 * time.Millisecond, time.Minute, 5 * time.Second}.check(),
		bounds[time.Duration]{"Ask", &s.Ask, 50 * time.Millisecond, 30 * time.Second, 2 * time.Second}.check(),
		bounds[time.Duration]{"Idle", &s.Idle, time.Second, 5 * time.Minute, 10 * time.Second}.check(),
		bounds[time.Duration]{"Keep", &s.Keep, time.Second, 10 * time.Minute, 55 * time.Second}.check(),
		bounds[int64]{"Head", &s.Head, 1 << 10, 1 << 20, 64 << 10}.check(),
	} {
		if err != nil {
			return s, err
		}
	}
	return s, nil
}
