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
	"tamarackspool/internal/steer/notice"
	"tamarackspool/internal/steer/pace"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/quota"
)

// viewBuilder keeps the state read from the store and builds views of it. It is not safe for concurrent use.
type viewBuilder struct {
	keys   Keys
	events *event.Log
	self   census.Entry
	// regionCount is the number of regions of the deployment.
	regionCount int
	// recentOutage reports whether registrations may have ended because the store was down.
	recentOutage func() bool

	book           *book.Book
	targets        map[string]*targetState // targets is keyed by target id.
	notices        notice.Table            // notices holds the notices of targets without a registration.
	services       map[string]*serviceTargets
	dirtyServices  map[string]bool // dirtyServices holds the services whose targets must be rebuilt.
	evacuatedZones map[string]bool
	entries        map[string]census.Entry
	invalidItems   map[string]string      // invalidItems maps the key of an item that could not be decoded to the error that was logged.
	formerEntries  map[string]formerEntry // formerEntries holds entries whose registration has recently ended; they may still be running.
	// registeredSince is when this entry's own registration was first read from the store; zero while it is missing.
	registeredSince time.Time
	roster          quota.Roster
	confirmed       func() time.Duration // confirmed returns the latest uptime at which the entry's knowledge was known to be complete.
	uptime          func() time.Duration // uptime returns the time of a clock that advances while the machine is suspended.
	hold            eraHold
	unseenEnds      uint64 // unseenEnds counts the ends of registrations that this entry had not seen.
	lostOwn         bool   // lostOwn is set when this entry's own registration was removed, until it is taken.
}

func newViewBuilder(keys Keys, events *event.Log, self census.Entry, regionCount int, recentOutage func() bool) *viewBuilder {
	return &viewBuilder{
		keys: keys, events: events, self: self, regionCount: regionCount, recentOutage: recentOutage,
		targets: make(map[string]*targetState), services: make(map[string]*serviceTargets), dirtyServices: make(map[string]bool),
		evacuatedZones: make(map[string]bool), entries: make(map[string]census.Entry), formerEntries: make(map[string]formerEntry),
		invalidItems: make(map[string]string), hold: newEraHold(),
	}
}

// apply applies the changed items.
func (b *viewBuilder) apply(items []mirror.Item, now time.Time) {
	var versions []mirror.Item
	for _, it := range items {
		if b.keys.IsConfiguration(it.Key) {
			versions = append(versions, it)
			continue
		}
		if !b.holdBack(it, now) {
			b.logInvalid(it, b.applyItem(it, now))
		}
	}
	// Only the last valid configuration of a batch counts, so earlier ones aren't decoded.
	for _, it := range slices.Backward(versions) {
		err := b.applyConfiguration(it)
		b.logInvalid(it, err)
		if err == nil {
			return
		}
	}
}

// logInvalid logs an item that could not be decoded, once until its error changes.
func (b *viewBuilder) logInvalid(it mirror.Item, err error) {
	if err == nil {
		delete(b.invalidItems, it.Key)
		return
	}
	if text := err.Error(); b.invalidItems[it.Key] != text {
		b.invalidItems[it.Key] = text
		b.events.Log(event.ItemInvalid, "key", it.Key, "revision", it.Revision, "error", err)
	}
}

func (b *viewBuilder) applyItem(it mirror.Item, now time.Time) error {
	if zone, ok := b.keys.EvacuatedZone(it.Key); ok {
		b.hold.recordKey(it, now)
		b.applyEvacuation(zone, it, now)
		return nil
	}
	if id, ok := b.keys.TargetID(it.Key); ok {
		return b.applyTarget(id, it, now)
	}
	if name, ok := b.keys.EntryName(it.Key); ok {
		b.hold.recordKey(it, now)
		return b.applyEntry(name, it, now)
	}
	return nil
}

// applyConfiguration adopts a newer version; the version in force never decreases.
func (b *viewBuilder) applyConfiguration(it mirror.Item) error {
	if it.Removed {
		return nil
	}
	next, err := b.keys.DecodeConfiguration(it.Value)
	if err != nil {
		return err
	}
	if b.book != nil && next.Version() <= b.book.Version() {
		if next.Version() == b.book.Version() && it.Revision > 0 {
			b.hold.recordConfiguration(it)
		}
		return nil
	}
	b.book = next
	b.hold.recordConfiguration(it)
	b.events.Log(event.VersionAdopted, "version", next.Version(), "revision", it.Revision, "rules", next.RuleCount())
	return nil
}

func (b *viewBuilder) applyEvacuation(zone string, it mirror.Item, now time.Time) {
	for service := range b.services {
		b.dirtyServices[service] = true
	}
	if !it.Removed {
		b.evacuatedZones[zone] = true
		b.events.Log(event.ZoneEvacuated, "zone", zone, "revision", it.Revision)
		return
	}
	if !b.evacuatedZones[zone] {
		return
	}
	delete(b.evacuatedZones, zone)
	b.events.Log(event.ZoneReturned, "zone", zone, "revision", it.Revision)
	// The targets of an evacuated zone may have turned cold without reporting it in their registration.
	for id, s := range b.targets {
		if s.target.Zone() == zone {
			b.targets[id] = s.copyWith(func(s *targetState) { s.coldUntil = later(s.coldUntil, now.Add(b.warmUp(s))) })
		}
	}
}

// warmUp returns how long a target of the same service is cold after its start.
func (b *viewBuilder) warmUp(s *targetState) time.Duration {
	if b.book == nil {
		return 0
	}
	f, _ := b.book.Service(s.target.Service())
	return f.ColdDuration
}

func (b *viewBuilder) applyTarget(id string, it mirror.Item, now time.Time) error {
	old := b.targets[id]
	if it.Removed {
		b.applyTargetRemoval(id, it, now)
		return nil
	}
	t, err := b.keys.DecodeTarget(id, it.Value, now)
	if err != nil {
		return err
	}
	if b.hold.isOutdated(old, t, now) {
		b.hold.outdated++
		return nil
	}
	if old != nil {
		b.dirtyServices[old.target.Service()] = true
	}
	b.dirtyServices[t.Service()] = true
	b.targets[id] = b.nextState(old, t, it, now)
	return nil
}

const (
	// lapseGrace is how long a target whose registration ended during an outage stays in use. It is below the 2 s
	// for which a terminated target may still get requests.
	lapseGrace = 1800 * time.Millisecond
	// lapseWindow is how long after the store's recovery a removed registration is treated as lapsed: its target
	// may register again.
	lapseWindow = 2 * time.Second
)

// applyTargetRemoval handles the end of a target's registration. Around an outage, or after the store was restored, it
// may have lapsed only because targets could not renew it or the store has lost it: then the target and
// its state are kept for lapseGrace.
func (b *viewBuilder) applyTargetRemoval(id string, it mirror.Item, now time.Time) {
	old := b.targets[id]
	switch {
	case old == nil:
	case (b.recentOutage() || b.hold.active(now)) && !old.isLeaving() && old.usableUntil.IsZero():
		b.targets[id] = old.copyWith(func(s *targetState) { s.usableUntil = now.Add(lapseGrace) })
		b.dirtyServices[old.target.Service()] = true
		b.events.Log(event.TargetLapsed, "target", id, "service", old.target.Service(), "revision", it.Revision, "for", lapseGrace)
	case old.usableUntil.IsZero():
		b.hold.recordFormer(old.target, now)
		b.removeTarget(id, it.Revision, now)
	}
}

func (b *viewBuilder) removeTarget(id string, revision uint64, now time.Time) {
	old := b.targets[id]
	service := old.target.Service()
	delete(b.targets, id)
	b.notices.Keep(incarnationOf(old.target), old.notice, now)
	b.dirtyServices[service] = true
	b.events.Log(event.TargetGone, "target", id, "service", service, "revision", revision)
}

// removeLapsed removes the targets that have not registered again in time and reports whether there were any.
func (b *viewBuilder) removeLapsed(now time.Time) (changed bool) {
	for id, s := range b.targets {
		if !s.usableUntil.IsZero() && !now.Before(s.usableUntil) {
			b.removeTarget(id, s.revision, now)
			changed = true
		}
	}
	return changed
}

// noticeOf returns the notice of a target that registers; old is its earlier incarnation under the id, if there is one.
func (b *viewBuilder) noticeOf(old *targetState, t target.Target) *notice.Notice {
	if old != nil && t.StartedMillis() == 0 {
		return new(notice.Notice) // Both incarnations have the same key in the table.
	}
	return b.notices.Find(incarnationOf(t))
}

func incarnationOf(t target.Target) notice.Incarnation {
	return notice.Incarnation{ID: t.ID(), StartedMillis: t.StartedMillis()}
}

// restarted reports whether the target has started again under its id. Without a start time the sequence of its
// heartbeats shows it, which begins anew.
func restarted(old, t target.Target) bool {
	return old.StartedMillis() != t.StartedMillis() || t.StartedMillis() == 0 && t.Sequence() < old.Sequence()
}

// nextState returns the state of a registered target. State observed before a restart under the same id is discarded.
func (b *viewBuilder) nextState(old *targetState, t target.Target, it mirror.Item, now time.Time) *targetState {
	if old == nil || restarted(old.target, t) {
		if old != nil {
			b.hold.recordFormer(old.target, now)
		}
		b.events.Log(event.TargetJoined, "target", t.ID(), "service", t.Service(), "zone", t.Zone(),
			"cold", t.ColdUntil().Sub(now), "revision", it.Revision)
		return &targetState{
			target: t, hash: placement.HashName(t.ID()), gauge: new(health.Tracker), pacer: new(pace.Pacer), notice: b.noticeOf(old, t),
			coldUntil: t.ColdUntil(), confirmed: now, revision: it.Revision,
		}
	}
	if t.Leaving() && !old.target.Leaving() {
		b.events.Log(event.TargetLeaving, "target", t.ID(), "service", t.Service(), "revision", it.Revision)
	}
	return old.copyWith(func(s *targetState) {
		s.coldUntil = later(s.coldUntil, t.ColdUntil())
		s.target, s.confirmed, s.revision, s.usableUntil = t, now, it.Revision, time.Time{}
	})
}

// copyWith returns a copy of the state with change applied to it.
func (s *targetState) copyWith(change func(*targetState)) *targetState {
	c := *s
	change(&c)
	return &c
}

func (b *viewBuilder) applyEntry(name string, it mirror.Item, now time.Time) error {
	old, known := b.entries[name]
	if it.Removed {
		if name == b.self.Name {
			b.registeredSince = time.Time{}
			b.lostOwn = known
		}
		// A registration that begins and ends within one batch is never in the roster.
		if !known || !old.Leaving && !b.roster.Registered(name) {
			b.unseenEnds++
		}
		if known {
			delete(b.entries, name)
			b.formerEntries[name] = formerEntry{old, now}
			b.events.Log(event.EntryGone, "entry", name, "revision", it.Revision)
		}
		return nil
	}
	e, err := b.keys.DecodeEntry(name, it.Value)
	if err != nil {
		return err
	}
	b.entries[name] = e
	delete(b.formerEntries, name)
	if name == b.self.Name && !known {
		b.registeredSince = now
	}
	switch {
	case e.Leaving && !old.Leaving:
		b.events.Log(event.EntryGone, "entry", name, "revision", it.Revision, "leaving", true)
	case !known:
		b.events.Log(event.EntryJoined, "entry", name, "zone", e.Zone, "revision", it.Revision)
	}
	return nil
}

// formerEntry is an entry whose registration has ended.
type formerEntry struct {
	entry   census.Entry
	endedAt time.Time // endedAt is when the end of the registration was read.
}

// formerEntryTTL is how long an entry without a registration still gets messages for other entries: longer than
// an outage of the store through which it keeps running, and long enough for it to register again.
const formerEntryTTL = 30 * time.Second

// rebuildServices rebuilds the services whose targets have changed.
func (b *viewBuilder) rebuildServices() {
	byService := make(map[string][]*targetState, len(b.dirtyServices))
	for _, s := range b.targets {
		if b.dirtyServices[s.target.Service()] {
			byService[s.target.Service()] = append(byService[s.target.Service()], s)
		}
	}
	for service := range b.dirtyServices {
		list := byService[service]
		slices.SortFunc(list, func(x, y *targetState) int { return strings.Compare(x.target.ID(), y.target.ID()) })
		b.services[service] = newServiceTargets(list, b.evacuatedZones, b.self.Region, b.regionCount)
		if len(list) == 0 {
			delete(b.services, service)
		}
	}
	clear(b.dirtyServices)
}

// buildView returns a view of the current state.
func (b *viewBuilder) buildView(revision uint64, now time.Time) *view {
	v := &view{book: b.book, services: make(map[string]*serviceTargets), evacuatedZones: maps.Clone(b.evacuatedZones), revision: revision}
	b.rebuildServices()
	maps.Copy(v.services, b.services)
	v.registeredNames, v.registeredSince = slices.Sorted(maps.Keys(b.entries)), b.registeredSince
	for _, name := range v.registeredNames {
		if !b.entries[name].Leaving {
			v.activeHashes = append(v.activeHashes, placement.HashName(name))
			v.activeNames = append(v.activeNames, name)
		}
	}
	entries := maps.Clone(b.entries)
	entries[b.self.Name] = b.self
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		v.entries = append(v.entries, entries[name])
	}
	for name, f := range b.formerEntries {
		if now.Sub(f.endedAt) >= formerEntryTTL {
			delete(b.formerEntries, name)
		} else if name != b.self.Name {
			v.formerEntries = append(v.formerEntries, f.entry)
		}
	}
	v.reader, v.hasReader = census.ReaderOf(v.entries, b.self)
	v.roster, v.unseenEnds = b.nextRoster(revision), b.unseenEnds
	return v
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
