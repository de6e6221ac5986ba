package forward

import (
	"fmt"
	"net/http"
	"time"
)

// Settings holds the limits of the request path; a zero value stands for the default.
type Settings struct {
	Name     string        // Name is this entry's name; it must not be empty.
	Region   string        // Region is this entry's region.
	Key      string        // Key is the token that authenticates relayed requests; it must not be empty.
	Opening  time.Duration // Opening is the timeout for receiving a request header: 100 ms to 1 min, default 5 s.
	Header   int           // Header is the largest request header in bytes: 1 KiB to 1 MiB, default 32 KiB.
	Body     int64         // Body is the largest request body in bytes of a service that sets no limit: 1 KiB to 16 GiB, default 1 GiB.
	Idle     time.Duration // Idle is how long a caller's idle connection stays open: 1 s to 10 min, default 1 min.
	Slow     time.Duration // Slow is the longest pause within a request body or a streamed response to a caller: 100 ms to 5 min, default 10 s.
	Timeout  time.Duration // Timeout is the timeout of requests to services that set none: 10 ms to 1 h, default 10 s.
	Attempts int           // Attempts is the largest number of attempts per request: 1 to 10, default 3.
	Retry    float64       // Retry is the fraction of requests that may be retried: 0.001 to 1, default 0.1.
}

type boundedSetting[T int | int64 | float64 | time.Duration] struct {
	name                string
	value               *T
	low, high, fallback T
}

func (b boundedSetting[T]) check() error {
	if *b.value == 0 {
		*b.value = b.fallback
	}
	if *b.value < b.low || *b.value > b.high {
		return fmt.Errorf("forward: %s is %v, want %v to %v", b.name, *b.value, b.low, b.high)
	}
	return nil
}

// Check returns the settings with defaults filled in, or an error that names the value and its range.
func (s Settings) Check() (Settings, error) {
	if s.Name == "" || s.Key == "" {
		return s, fmt.Errorf("forward: Name and Key must not be empty")
	}
	for _, err := range []error{
		boundedSetting[time.Duration]{"Opening", &s.Opening, 100 * time.Millisecond, time.Minute, 5 * time.Second}.check(),
		boundedSetting[int]{"Header", &s.Header, 1 << 10, 1 << 20, 32 << 10}.check(),
		boundedSetting[int64]{"Body", &s.Body, 1 << 10, 16 << 30, 1 << 30}.check(),
		boundedSetting[time.Duration]{"Idle", &s.Idle, time.Second, 10 * time.Minute, time.Minute}.check(),
		boundedSetting[time.Duration]{"Slow", &s.Slow, 100 * time.Millisecond, 5 * time.Minute, 10 * time.Second}.check(),
		boundedSetting[time.Duration]{"Timeout", &s.Timeout, 10 * time.Millisecond, time.Hour, 10 * time.Second}.check(),
		boundedSetting[int]{"Attempts", &s.Attempts, 1, 10, 3}.check(),
		boundedSetting[float64]{"Retry", &s.Retry, 0.001, 1, 0.1}.check(),
	} {
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// Server returns an HTTP server with the limits of the settings, which must have been returned by Check.
func (s Settings) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.Opening,
		IdleTimeout:       s.Idle,
		// Above Header, the handler refuses with a verdict; the server rejects only headers far beyond it.
		MaxHeaderBytes: 2 * s.Header,
	}
}
