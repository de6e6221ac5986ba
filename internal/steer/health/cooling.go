package health

import "time"

const (
	// correlationWindow is the time within which targets that turn cold are assumed to do so for the same cause.
	correlationWindow = time.Second
	// A zone counts as cold when at least minColdTargets targets, and one in coldZoneDivisor of its targets, have turned cold.
	minColdTargets  = 2
	coldZoneDivisor = 3
)

// ZoneColdDetector detects that the targets of one availability zone turn cold at the
// same time rather than one by one. A cold target accepts only a low rate of requests
// until it has warmed up. The zero value is ready to use.
type ZoneColdDetector struct {
	coldAt map[string]time.Time // coldAt holds the time at which each target was found cold, by its id.
}

// RecordCold records that a target was found cold and reports whether the other
// targets of its zone, which has the given number of targets, must be assumed
// to be cold too.
func (d *ZoneColdDetector) RecordCold(id string, targets int, now time.Time) bool {
	if d.coldAt == nil {
		d.coldAt = make(map[string]time.Time)
	}
	d.coldAt[id] = now
	for other, at := range d.coldAt {
		if now.Sub(at) > correlationWindow {
			delete(d.coldAt, other)
		}
	}
	return len(d.coldAt) >= max(minColdTargets, (targets+coldZoneDivisor-1)/coldZoneDivisor)
}
