package overload

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// Parts of the region share that are kept for more important services.
const (
	step = 0.1 // part withheld per rank of priority
	most = 0.5 // largest part withheld
)

// A request may wait for a slot for each open slot and in proportion to the
// work: three slots with work of 300 ms become free too seldom for a shorter wait.
const (
	wait    = 10 * time.Millisecond // for each open slot
	busy    = 1.35                  // part of the usual time of an answer
	longest = time.Second
)

// Update sets how much of the region share each service may use and how long
// its requests may wait.
func Update(_ time.Time, t *table.Tables) {
	for i := range t.Services {
		s := &t.Services[i]
		s.Reserve = 0
		if t.Share > 0 {
			part := min(most, step*float64(max(0, s.Spec.Priority())))
			s.Reserve = int(part * float64(t.Share))
		}
		s.Patience = min(longest, wait*time.Duration(max(1, s.Slots))+time.Duration(busy*s.Latency*float64(time.Second)))
	}
}
