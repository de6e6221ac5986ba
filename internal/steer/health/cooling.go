package health

import "time"

const (
	// together is the time within which targets turn cold that do so for one cause.
	together = time.Second
	// leastTogether is the least number of targets, and oneIn the part of a zone's, that say so of the others.
	leastTogether = 2
	oneIn         = 3
)

// Cooling tells an availability zone whose targets turn cold together from
// targets that do so one by one; the zero value knows of none.
type Cooling struct {
	at map[string]time.Time // at is when a target was found to have turned cold, by its id.
}

// Note notes that a target was found to have turned cold and reports whether
// the others of its zone, which has the given number of targets, are to be taken for cold too.
func (c *Cooling) Note(id string, targets int, now time.Time) bool {
	if c.at == nil {
		c.at = make(map[string]time.Time)
	}
	c.at[id] = now
	for other, at := range c.at {
		if now.Sub(at) > together {
			delete(c.at, other)
		}
	}
	return len(c.at) >= max(leastTogether, (targets+oneIn-1)/oneIn)
}
