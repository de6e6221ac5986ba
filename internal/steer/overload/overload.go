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

// wait is how long a request may wait for a slot, for each open slot.
const wait = 10 * time.Millisecond

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
		s.Patience = min(time.Second, wait*time.Duration(s.Slots))
	}
}
