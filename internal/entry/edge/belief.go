package edge

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/mirror"
	"tamarackspool/internal/site/target"
	"tamarackspool/internal/steer/health"
	"tamarackspool/internal/steer/pace"
	"tamarackspool/internal/steer/placement"
)

// belief turns changes of the store into views. Its caller lets one goroutine at a time call it.
type belief struct {
	keys   Keys
	events *event.Log
	self   census.Entry
	// regions is the number of regions of the deployment.
	regions int
	// disturbed reports whether registrations may have ended because the store was down.
	disturbed func() bool

	book    *book.Book
	seats   map[string]*seat // seats is by the target's id.
	benches map[string]*bench
	dirty   map[string]bool // dirty holds the services whose bench must be made anew.
	closed  map[string]bool
	entries map[string]census.Entry
	former  map[string]former // former holds entries whose registration ended lately; they may run on.
	// enrolled is when this entry's own registration was seen to stand; the zero time while it does not.
	enrolled time.Time
}

func newBelief(keys Keys, events *event.Log, self census.Entry, regions int, disturbed func() bool) *belief {
	return &belief{
		keys: keys, events: events, self: self, regions: regions, disturbed: disturbed,
		seats: make(map[string]*seat), benches: make(map[string]*bench), dirty: make(map[string]bool),
		closed: make(map[string]bool), entries: make(map[string]census.Entry), former: make(map[string]former),
	}
}

// apply takes over the changed items.
func (b *belief) apply(items []mirror.Item, now time.Time) {
	var versions []mirror.Item
	for _, it := range items {
		if b.keys.Configuration(it.Key) {
			versions = append(versions, it)
			continue
		}
		b.note(it, b.one(it, now))
	}
	// A configuration that a later one of the same batch replaces is not worth decoding.
	for _, it := range slices.Backward(versions) {
		err := b.configure(it)
		b.note(it, err)
		if err == nil {
			return
		}
	}
}

func (b *belief) note(it mirror.Item, err error) {
	if err != nil {
		b.events.Log(event.ItemInvalid, "key", it.Key, "revision", it.Revision, "error", err)
	}
}

func (b *belief) one(it mirror.Item, now time.Time) error {
	if zone, ok := b.keys.Evacuation(it.Key); ok {
		b.evacuate(zone, it, now)
		return nil
	}
	if id, ok := b.keys.Target(it.Key); ok {
		return b.register(id, it, now)
	}
	if name, ok := b.keys.Entry(it.Key); ok {
		return b.enrol(name, it, now)
	}
	return nil
}

// configure adopts a newer version; the version in force never falls.
func (b *belief) configure(it mirror.Item) error {
	if it.Removed {
		return nil
	}
	next, err := b.keys.DecodeConfiguration(it.Value)
	if err != nil {
		return err
	}
	if b.book != nil && next.Version() <= b.book.Version() {
		return nil
	}
	b.book = next
	b.events.Log(event.VersionAdopted, "version", next.Version(), "revision", it.Revision, "rules", next.Rules())
	return nil
}

func (b *belief) evacuate(zone string, it mirror.Item, now time.Time) {
	for service := range b.benches {
		b.dirty[service] = true
	}
	if !it.Removed {
		b.closed[zone] = true
		b.events.Log(event.ZoneEvacuated, "zone", zone, "revision", it.Revision)
		return
	}
	if !b.closed[zone] {
		return
	}
	delete(b.closed, zone)
	b.events.Log(event.ZoneReturned, "zone", zone, "revision", it.Revision)
	// The targets of an emptied zone may have cooled down without a word in their registration.
	for id, s := range b.seats {
		if s.target.Zone() == zone {
			b.seats[id] = s.with(func(s *seat) { s.coldUntil = later(s.coldUntil, now.Add(b.warmUp(s))) })
		}
	}
}

// warmUp returns how long a target of the seat's service is cold after its start.
func (b *belief) warmUp(s *seat) time.Duration {
	if b.book == nil {
		return 0
	}
	f, _ := b.book.Service(s.target.Service())
	return f.Cold
}

func (b *belief) register(id string, it mirror.Item, now time.Time) error {
	old := b.seats[id]
	if it.Removed {
		b.unregister(id, it, now)
		return nil
	}
	t, err := b.keys.DecodeTarget(id, it.Value, now)
	if err != nil {
		return err
	}
	if old != nil {
		b.dirty[old.target.Service()] = true
	}
	b.dirty[t.Service()] = true
	b.seats[id] = b.seat(old, t, it, now)
	return nil
}

const (
	// lapseHold is how long a target whose registration ended in an outage stays in use. It is below the 2 s
	// for which a target that has left may still get requests.
	lapseHold = 1800 * time.Millisecond
	// lapseTime is how long after the store's return registrations may still turn out to have lapsed, and be back.
	lapseTime = 2 * time.Second
)

// unregister takes note that a target's registration has ended. In an outage it
// may have lapsed, as targets cannot renew theirs: the target is kept for a
// while then, with what is known of it.
func (b *belief) unregister(id string, it mirror.Item, now time.Time) {
	old := b.seats[id]
	switch {
	case old == nil:
	case b.disturbed() && !old.target.Leaving() && old.lapsed.IsZero():
		b.seats[id] = old.with(func(s *seat) { s.lapsed = now.Add(lapseHold) })
		b.dirty[old.target.Service()] = true
		b.events.Log(event.TargetLapsed, "target", id, "service", old.target.Service(), "revision", it.Revision, "for", lapseHold)
	case old.lapsed.IsZero():
		b.remove(id, it.Revision)
	}
}

func (b *belief) remove(id string, revision uint64) {
	service := b.seats[id].target.Service()
	delete(b.seats, id)
	b.dirty[service] = true
	b.events.Log(event.TargetGone, "target", id, "service", service, "revision", revision)
}

// sweep removes the targets that are not back in time and reports whether there were any.
func (b *belief) sweep(now time.Time) (changed bool) {
	for id, s := range b.seats {
		if !s.lapsed.IsZero() && !now.Before(s.lapsed) {
			b.remove(id, s.revision)
			changed = true
		}
	}
	return changed
}

// seat returns the seat of a registration. What was seen of an earlier start under the same id is forgotten.
func (b *belief) seat(old *seat, t target.Target, it mirror.Item, now time.Time) *seat {
	if old == nil || old.target.Born() != t.Born() {
		b.events.Log(event.TargetJoined, "target", t.ID(), "service", t.Service(), "zone", t.Zone(),
			"cold", t.ColdUntil().Sub(now), "revision", it.Revision)
		return &seat{
			target: t, mark: placement.Mark(t.ID()), gauge: new(health.Gauge), pacer: new(pace.Pacer),
			coldUntil: t.ColdUntil(), confirmed: now, revision: it.Revision,
		}
	}
	if t.Leaving() && !old.target.Leaving() {
		b.events.Log(event.TargetLeaving, "target", t.ID(), "service", t.Service(), "revision", it.Revision)
	}
	return old.with(func(s *seat) {
		s.coldUntil = later(s.coldUntil, t.ColdUntil())
		s.target, s.confirmed, s.revision, s.lapsed = t, now, it.Revision, time.Time{}
	})
}

// with returns a copy of the seat that change has altered.
func (s *seat) with(change func(*seat)) *seat {
	c := *s
	change(&c)
	return &c
}

func (b *belief) enrol(name string, it mirror.Item, now time.Time) error {
	old, known := b.entries[name]
	if it.Removed {
		if name == b.self.Name {
			b.enrolled = time.Time{}
		}
		if known {
			delete(b.entries, name)
			b.former[name] = former{old, now}
			b.events.Log(event.EntryGone, "entry", name, "revision", it.Revision)
		}
		return nil
	}
	e, err := b.keys.DecodeEntry(it.Value)
	if err != nil {
		return err
	}
	b.entries[name] = e
	delete(b.former, name)
	if name == b.self.Name && !known {
		b.enrolled = now
	}
	switch {
	case e.Leaving && !old.Leaving:
		b.events.Log(event.EntryGone, "entry", name, "revision", it.Revision, "leaving", true)
	case !known:
		b.events.Log(event.EntryJoined, "entry", name, "zone", e.Zone, "revision", it.Revision)
	}
	return nil
}

// former is an entry whose registration has ended.
type former struct {
	entry census.Entry
	at    time.Time // at is when the end was heard.
}

// formerFor is how long an entry without a registration is told what others must know: longer than
// an outage of the store during which it runs on, and long enough for a new registration.
const formerFor = 30 * time.Second

// rebuild makes the benches of the services anew whose targets have changed.
func (b *belief) rebuild() {
	seats := make(map[string][]*seat, len(b.dirty))
	for _, s := range b.seats {
		if b.dirty[s.target.Service()] {
			seats[s.target.Service()] = append(seats[s.target.Service()], s)
		}
	}
	for service := range b.dirty {
		list := seats[service]
		slices.SortFunc(list, func(x, y *seat) int { return strings.Compare(x.target.ID(), y.target.ID()) })
		b.benches[service] = newBench(list, b.closed, b.self.Region, b.regions)
		if len(list) == 0 {
			delete(b.benches, service)
		}
	}
	clear(b.dirty)
}

// view returns what is believed now.
func (b *belief) view(revision uint64, now time.Time) *view {
	v := &view{book: b.book, seats: make(map[string]*bench), closed: maps.Clone(b.closed), revision: revision}
	b.rebuild()
	maps.Copy(v.seats, b.benches)
	v.stored, v.enrolled = slices.Sorted(maps.Keys(b.entries)), b.enrolled
	for _, name := range v.stored {
		if !b.entries[name].Leaving {
			v.marks = append(v.marks, placement.Mark(name))
			v.names = append(v.names, name)
		}
	}
	entries := maps.Clone(b.entries)
	entries[b.self.Name] = b.self
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		v.entries = append(v.entries, entries[name])
	}
	for name, f := range b.former {
		if now.Sub(f.at) >= formerFor {
			delete(b.former, name)
		} else if name != b.self.Name {
			v.former = append(v.former, f.entry)
		}
	}
	v.reader, v.led = census.ReaderOf(v.entries, b.self)
	return v
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
