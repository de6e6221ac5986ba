package admission

import (
	"math"
	"time"
)

// counter counts events of the recent past: each event loses its weight exponentially with its age.
type counter struct {
	value float64
	at    time.Time
}

// get returns the weighted number of events at the given time; memory is the time after which an event's weight is 1/e.
func (c *counter) get(now time.Time, memory time.Duration) float64 {
	age := now.Sub(c.at)
	if c.value == 0 || age <= 0 {
		return c.value
	}
	return c.value * math.Exp(-age.Seconds()/memory.Seconds())
}

// add counts an event at the given time.
func (c *counter) add(now time.Time, memory time.Duration) {
	c.value = c.get(now, memory) + 1
	if now.After(c.at) {
		c.at = now
	}
}
