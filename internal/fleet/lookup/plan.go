package lookup

import (
	"net/http"
	"time"

	"tamarackspool/internal/request/verdict"
)

// refusalRetryAfter is the Retry-After value for callers whose home region has no entries while the shift cap limits failover.
const refusalRetryAfter = 2 * time.Second

// regionPlan distributes the answers for one service and home region over the regions. The service's shift cap, in
// requests/s per second, limits how fast the shares change.
type regionPlan struct {
	home          string
	homeAvailable bool
	shares        []share // shares of other regions; the remainder belongs to the home region
}

type share struct {
	region   string
	fraction float64 // from 0 to 1
}

// drawRegion maps a random number in [0, 1) to a region. It returns false if the number falls into the share of an
// unavailable home region, because the shift cap does not allow other regions to take that share yet.
func (p *regionPlan) drawRegion(f float64) (string, bool) {
	for _, s := range p.shares {
		if f < s.fraction {
			return s.region, true
		}
		f -= s.fraction
	}
	return p.home, p.homeAvailable
}

func (p *regionPlan) refusalError() error {
	if len(p.shares) == 0 {
		return verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, http.StatusServiceUnavailable, errNoEntry).WithRetryAfter(refusalRetryAfter)
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonShiftLimit, http.StatusServiceUnavailable, errShiftCap).WithRetryAfter(refusalRetryAfter)
}

// shareOf returns the current share of the region.
func (p *regionPlan) shareOf(region string) float64 {
	if p == nil {
		return 0
	}
	for _, s := range p.shares {
		if s.region == region {
			return s.fraction
		}
	}
	return 0
}

// stepTowards returns the current value moved towards the desired one by at most step.
func stepTowards(current, desired, step float64) float64 {
	if desired > current {
		return min(desired, current+step)
	}
	return max(desired, current-step)
}
