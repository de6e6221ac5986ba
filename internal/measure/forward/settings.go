package forward

import (
	"fmt"
	"time"
)

// Settings selects what to measure; zero values mean the defaults.
type Settings struct {
	Seed    uint64
	Callers []int         // Callers are the numbers of concurrent callers: default 1, 32 and 400.
	Length  time.Duration // Length is the duration of a phase: 50 ms to 1 min, default 2 s.
	Size    int           // Size is the length of a response in bytes: 0 to 32 KiB, default 256.
	Idle    int           // Idle is the number of idle callers, up to 20,000; 0 measures none.
	Work    time.Duration // Work is how long a target works on a request: 0 to 1 s, default 0.
	Longest time.Duration // Longest is the longest latency that is recorded, longer ones count as errors: 1 ms to 1 min, default 10 s.
	Uploads int           // Uploads is the number of uploads in progress, up to 1,000; 0 measures none.
}

func (s Settings) check() (Settings, error) {
	if len(s.Callers) == 0 {
		s.Callers = []int{1, 32, 400}
	}
	if s.Length == 0 {
		s.Length = 2 * time.Second
	}
	if s.Size == 0 {
		s.Size = 256
	}
	if s.Longest == 0 {
		s.Longest = defaultLongest
	}
	switch {
	case s.Work < 0 || s.Work > time.Second:
		return s, fmt.Errorf("forward: Work is %v, accepted is 0s to 1s", s.Work)
	case s.Longest < time.Millisecond || s.Longest > time.Minute:
		return s, fmt.Errorf("forward: Longest is %v, accepted is 1ms to 1m", s.Longest)
	case s.Length < 50*time.Millisecond || s.Length > time.Minute:
		return s, fmt.Errorf("forward: Length is %v, accepted is 50ms to 1m", s.Length)
	case s.Size < 0 || s.Size > 32<<10:
		return s, fmt.Errorf("forward: Size is %d, accepted is 0 to %d", s.Size, 32<<10)
	case s.Idle < 0 || s.Idle > 20_000:
		return s, fmt.Errorf("forward: Idle is %d, accepted is 0 to 20000", s.Idle)
	case s.Uploads < 0 || s.Uploads > 1000:
		return s, fmt.Errorf("forward: Uploads is %d, accepted is 0 to 1000", s.Uploads)
	}
	for _, n := range s.Callers {
		if n < 1 || n > 1000 {
			return s, fmt.Errorf("forward: Callers has %d, accepted is 1 to 1000", n)
		}
	}
	return s, nil
}
