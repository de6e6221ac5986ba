package overload

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// Fractions of the region share that are reserved for more important services.
const (
	reservePerPriority = 0.1 // fraction withheld per priority level
	maxReserve         = 0.5 // largest fraction withheld
)

// The longest queueing time of a request grows with the number of usable slots
// and with the latency: three slots with a latency of 300 ms become free too
// rarely for a shorter time.
const (
	waitPerSlot       = 10 * time.Millisecond // per usable slot
	waitLatencyFactor = 1.35                  // multiple of the mean latency
	maxWait           = time.Second
)

// Update sets how much of the region share each service may use and how long
// its requests may be queued.
func Update(_ time.Time, t *table.Tables) {
	for i := range t.Services {
		s := &t.Services[i]
		s.Reserve = 0
		if t.Share > 0 {
			part := min(maxReserve, reservePerPriority*float64(max(0, s.Spec.Priority())))
			s.Reserve = int(part * float64(t.Share))
		}
		s.MaxWait = min(maxWait, waitPerSlot*time.Duration(max(1, s.Slots))+time.Duration(waitLatencyFactor*s.Latency*float64(time.Second)))
	}
}
