package edge

import (
	"sync"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/health"
)

// coolings are the zones in which targets were found to have turned cold; they are safe for concurrent use.
type coolings struct {
	mu    sync.Mutex
	zones map[string]*health.Cooling
}

func (c *coolings) note(zone, id string, targets int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.zones = make(map[string]*health.Cooling)
	}
	if c.zones[zone] == nil {
		c.zones[zone] = new(health.Cooling)
	}
	return c.zones[zone].Note(id, targets, now)
}

// cooled takes all targets of a zone for cold once enough of them turned cold
// together, as they do when the zone is emptied: one whose slots filled before
// its check cannot say so for longer than its requests may go on.
func (e *Edge) cooled(s *seat, now time.Time) {
	v := e.view.Load()
	var others []*seat
	for _, b := range v.seats {
		for _, o := range b.seats {
			if o.target.Zone() == s.target.Zone() {
				others = append(others, o)
			}
		}
	}
	if !e.coolings.note(s.target.Zone(), s.target.ID(), len(others), now) {
		return
	}
	for _, o := range others {
		service, ok := v.book.Service(o.target.Service())
		if !ok || v.cold(o, now) {
			continue
		}
		o.gauge.Chilled(now.Add(service.Cold))
		e.events.Log(event.TargetCold, "target", o.target.ID(), "reason", "others of its zone turned cold", "for", service.Cold, "store-age", e.follower.Age())
	}
}
