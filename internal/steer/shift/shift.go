package shift

import (
	"math"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// Step is the length of one count; the core advances the counts by it.
const Step = 100 * time.Millisecond

// Windows of the cap.
const (
	window = 10                     // steps in which requests are counted against the allowance
	memory = 500 * time.Millisecond // time constant of the baseline
	safety = 0.8                    // part of the share used for growth
	pace   = 1.5                    // requests of one step as a multiple of the mean
	refill = time.Minute            // how long a region that returned is refilled under the cap at most
)

// Update sets how many requests of each service and home region this entry may
// serve in the next tick.
//
// The count of any second stays at most the allowance. The
// allowance is a fixed linear mean of the counts that ended at least a second
// ago plus this entry's share of the cap. Because the mean is linear, the sum
// over all entries obeys the same rule with the sum of their counts.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Shifts {
		update(now, t, &t.Shifts[i])
	}
}

func update(now time.Time, t *table.Tables, r *table.Shift) {
	recent, old := sum(r, 0), sum(r, window)
	part := min(1, float64(t.Elapsed)/float64(memory))
	if r.Home == t.Region && !returning(now, t) {
		r.Base = max(float64(old), r.Base*(1-part/20))
	} else {
		r.Base += part * (float64(old) - r.Base)
	}
	r.Allow = min(r.Allow+float64(r.Share)*t.Elapsed.Seconds(), r.Base+growth(r.Share))
	r.Open = r.Home == t.Region && !refilling(now, t, r)
	r.Left = max(0, int(math.Floor(r.Allow+1e-9))-recent)
	// An even pace keeps seconds that begin within a step close to those counted.
	r.Left = min(r.Left, max(1, int(math.Ceil(pace*r.Allow/window))))
	if t.Closed || t.Idle {
		r.Left = 0
	}
	if r.Refused > 0 && now.Sub(r.Since) > 10*time.Second {
		r.Since = now
		t.Emit(event.ShiftCapped, "service", r.Name, "home", r.Home, "region", t.Region, "allow", r.Allow, "refused", r.Refused)
	}
}

// growth is the part of the share by which a second may exceed the baseline.
// The rest covers entries whose steps do not begin at the same moment.
func growth(share int) float64 { return max(min(1, float64(share)), safety*float64(share)) }

// refilling reports whether the region's own traffic is coming back from other
// regions, which is a shift like any other.
func refilling(now time.Time, t *table.Tables, r *table.Shift) bool {
	return returning(now, t) || t.Services[r.Service].Spilled > 1 && now.Sub(t.Services[r.Service].Returned) < refill
}

func returning(now time.Time, t *table.Tables) bool { return t.Returned && now.Sub(t.Began) < refill }

// Count adds the requests that were served in the last tick and moves on by the given steps.
func Count(r *table.Shift, served, steps int) {
	r.Counts[r.Next] += served
	for range min(steps, len(r.Counts)) {
		r.Next = (r.Next + 1) % len(r.Counts)
		r.Counts[r.Next] = 0
	}
}

// Rate returns the requests served in the last complete second.
func Rate(r *table.Shift) int { return sum(r, 1) }

// sum returns the requests of the window that ends back steps before the current one.
func sum(r *table.Shift, back int) int {
	n := 0
	for k := range window {
		n += r.Counts[(r.Next+2*len(r.Counts)-back-k)%len(r.Counts)]
	}
	return n
}
