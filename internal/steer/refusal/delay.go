package refusal

import "time"

// pauseSpread is the part of a pause over which callers come back after its end.
const pauseSpread = 0.25

// Delay is a Retry-After delay that spreads callers who are refused at the same time. The zero value means at once.
type Delay struct {
	least, spread time.Duration
}

// Around returns a delay of half to one and a half times the duration.
func Around(d time.Duration) Delay { return Delay{d / 2, d} }

// AfterPause returns a delay that does not end before the pause of a target, which lasts for the duration from now on.
func AfterPause(d time.Duration) Delay {
	return Delay{d, max(MinDelay, time.Duration(pauseSpread*float64(d)))}
}

// At returns the delay at a position of the spread, from 0 to 1.
func (d Delay) At(position float64) time.Duration {
	return d.least + time.Duration(position*float64(d.spread))
}
