package edge

import (
	"sync"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/health"
)

// zoneCoolings tracks, by zone, the targets that have turned cold; it is safe for concurrent use.
type zoneCoolings struct {
	mu    sync.Mutex
	zones map[string]*health.ZoneColdDetector
}

// recordCold records that a target has turned cold and reports whether the whole zone, with that many targets, counts as cold.
func (c *zoneCoolings) recordCold(zone, id string, targets int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.zones = make(map[string]*health.ZoneColdDetector)
	}
	if c.zones[zone] == nil {
		c.zones[zone] = new(health.ZoneColdDetector)
	}
	return c.zones[zone].RecordCold(id, targets, now)
}

// coolZone marks all targets of a zone as cold once enough of them have turned cold
// together, as they do when the zone is evacuated: a target whose slots are full before
// its check cannot report that it is cold until its requests have ended.
func (e *Edge) coolZone(s *targetState, now time.Time) {
	v := e.view.Load()
	if v.book == nil {
		return // How long targets stay cold is unknown before the first configuration; the reports themselves hold.
	}
	var others []*targetState
	for _, b := range v.services {
		for _, o := range b.targets {
			if o.target.Zone() == s.target.Zone() {
				others = append(others, o)
			}
		}
	}
	if !e.zoneCoolings.recordCold(s.target.Zone(), s.target.ID(), len(others), now) {
		return
	}
	for _, o := range others {
		service, ok := v.book.Service(o.target.Service())
		if !ok || v.isCold(o, now) {
			continue
		}
		o.gauge.RecordCold(now.Add(service.ColdDuration))
		e.events.Log(event.TargetCold, "target", o.target.ID(), "reason", "others of its zone turned cold", "for", service.ColdDuration, "store-age", e.follower.Age())
	}
}
