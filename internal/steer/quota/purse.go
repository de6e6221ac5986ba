package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time over which the demand for an account is averaged. Over a shorter time a few requests of a small account
	// look like steady demand, and its tokens expire unused.
	demandTime = 10 * time.Second
	// minExpected is the number of requests within the lifetime of a token from which tokens are requested in advance.
	minExpected = 1.0
	// prefetchPart is the part of the lifetime for whose expected requests tokens are requested in advance.
	prefetchPart = 0.75
	// renewPart is the part of the lifetime for whose expected requests tokens are left when new ones are requested.
	renewPart = 0.25
	// renewLead is how long a token must still last to count as left then: a call to another region takes about 70 ms.
	renewLead = 100 * time.Millisecond
	// maxPrefetch bounds the tokens that are requested in advance.
	maxPrefetch = 1000
)

// Purse holds the unspent tokens of one account at an entry, and the entry's demand for them. The zero value has none. Times are of
// a clock that also runs while the machine is suspended. It is not safe for concurrent use.
type Purse struct {
	grants   []grant // grants is sorted by expiry.
	arrivals float64 // arrivals is the exponentially decaying count of requests.
	at       time.Duration
}

// grant is a number of tokens with the same expiry.
type grant struct {
	left    int
	expires time.Duration
}

// RecordRequest counts a request of the account.
func (p *Purse) RecordRequest(now time.Duration) {
	p.decay(now)
	p.arrivals++
}

func (p *Purse) decay(now time.Duration) {
	if now > p.at {
		p.arrivals *= math.Exp(-float64(now-p.at) / float64(demandTime))
		p.at = now
	}
}

// Demand returns the requests per second of the last seconds.
func (p *Purse) Demand(now time.Duration) float64 {
	p.decay(now)
	return p.arrivals / demandTime.Seconds()
}

// Add adds tokens that expire at the given time.
func (p *Purse) Add(tokens int, expires time.Duration) {
	if tokens <= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(p.grants, expires, func(g grant, at time.Duration) int { return int(g.expires - at) })
	p.grants = slices.Insert(p.grants, i, grant{tokens, expires})
}

// Spend takes the token that expires first and returns its expiry, or reports that there is none.
func (p *Purse) Spend(now time.Duration) (expires time.Duration, ok bool) {
	p.discardExpired(now)
	if len(p.grants) == 0 {
		return 0, false
	}
	expires = p.grants[0].expires
	p.grants[0].left--
	if p.grants[0].left == 0 {
		p.grants = slices.Delete(p.grants, 0, 1)
	}
	return expires, true
}

func (p *Purse) discardExpired(now time.Duration) {
	n := 0
	for n < len(p.grants) && p.grants[n].expires <= now {
		n++
	}
	p.grants = slices.Delete(p.grants, 0, n)
}

// Tokens returns the number of tokens that have not expired at the given time.
func (p *Purse) Tokens(at time.Duration) int {
	n := 0
	for _, g := range p.grants {
		if g.expires > at {
			n += g.left
		}
	}
	return n
}

// Want returns how many tokens to request for the waiting requests, which have not taken those that are left, and in advance; 0 for
// none.
func (p *Purse) Want(waiting int, lifetime, now time.Duration) int {
	unmet := max(0, waiting-p.Tokens(now))
	expected := p.Demand(now) * lifetime.Seconds()
	if expected < minExpected {
		return unmet
	}
	left := max(0, p.Tokens(now+renewLead)-waiting)
	if unmet == 0 && float64(left) >= max(1, expected*renewPart) {
		return 0
	}
	return unmet + max(0, min(maxPrefetch, int(math.Ceil(expected*prefetchPart)))-left)
}
