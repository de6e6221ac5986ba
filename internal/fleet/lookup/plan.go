package lookup

import (
	"net/http"
	"time"

	"tamarackspool/internal/request/verdict"
)

// refusalDelay is the advice to callers whose home region is lost while the shift cap holds them back.
const refusalDelay = 2 * time.Second

// plan says which regions the answers for one home region and service name.
type plan struct {
	home     string
	homeLive bool
	shares   []share // shares of other regions; what is left belongs to the home region
}

type share struct {
	region string
	part   float64 // from 0 to 1
}

// region draws the region to name entries of; false means that the home region is lost and the cap is used up.
func (p *plan) region(f float64) (string, bool) {
	for _, s := range p.shares {
		if f < s.part {
			return s.region, true
		}
		f -= s.part
	}
	return p.home, p.homeLive
}

func (p *plan) refusal() error {
	if len(p.shares) == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonRoom, http.StatusServiceUnavailable, errNone).WithRetryAfter(refusalDelay)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonShift, http.StatusServiceUnavailable, errShift).WithRetryAfter(refusalDelay)
}

// part returns the present share of the region.
func (p *plan) part(region string) float64 {
	if p == nil {
		return 0
	}
	for _, s := range p.shares {
		if s.region == region {
			return s.part
		}
	}
	return 0
}

// approach moves a share towards its aim by at most step.
func approach(from, aim, step float64) float64 {
	if aim > from {
		return min(aim, from+step)
	}
	return max(aim, from-step)
}
