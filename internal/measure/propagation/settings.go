package propagation

import (
	"fmt"
	"slices"
	"time"
)

// Settings selects what to measure; zero values mean the defaults.
type Settings struct {
	Seed    uint64
	Sizes   []int         // Sizes are the numbers of entries, each 6 to 96: default 12, 48 and 96. Faults are measured only at the first.
	Changes int           // Changes is the number of patches per fleet without faults, 1 to 500: default 50.
	Faulty  int           // Faulty is the number of patches per fault, up to 500; 0 measures none.
	Window  time.Duration // Window is how long the store calls of idle entries are counted, 1 s to 1 min: default 10 s.
	Settle  time.Duration // Settle is how long a fleet runs before it is measured, up to 1 min: default 8 s.
}

func (s Settings) check() (Settings, error) {
	if len(s.Sizes) == 0 {
		s.Sizes = []int{12, 48, 96}
	}
	if s.Changes == 0 {
		s.Changes = 50
	}
	if s.Window == 0 {
		s.Window = 10 * time.Second
	}
	if s.Settle == 0 {
		s.Settle = 8 * time.Second
	}
	switch {
	case slices.Min(s.Sizes) < len(zones) || slices.Max(s.Sizes) > 96:
		return s, fmt.Errorf("propagation: Sizes is %v, accepted is %d to 96", s.Sizes, len(zones))
	case s.Changes < 1 || s.Changes > 500:
		return s, fmt.Errorf("propagation: Changes is %d, accepted is 1 to 500", s.Changes)
	case s.Faulty < 0 || s.Faulty > 500:
		return s, fmt.Errorf("propagation: Faulty is %d, accepted is 0 to 500", s.Faulty)
	case s.Window < time.Second || s.Window > time.Minute:
		return s, fmt.Errorf("propagation: Window is %v, accepted is 1s to 1m", s.Window)
	case s.Settle < 0 || s.Settle > time.Minute:
		return s, fmt.Errorf("propagation: Settle is %v, accepted is 0s to 1m", s.Settle)
	}
	return s, nil
}
