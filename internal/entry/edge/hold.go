package edge

import (
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/site/mirror"
	"tamarackspool/internal/site/target"
	"tamarackspool/internal/steer/notice"
)

const (
	// eraHoldTime is how long what was known before the store was restored from an older copy stays known without being
	// written again. Operators and targets write again within some seconds.
	eraHoldTime = 10 * time.Second
	// endedFor is how long the end of a key is remembered, to recognize the key in an older copy: longer than a copy is old.
	endedFor = time.Minute
	// maxFormerTargets bounds the number of remembered incarnations of targets that have ended.
	maxFormerTargets = 4096
)

// eraHold keeps what was known from the store through its restorations from an older copy. The zero value has no era.
// It is not safe for concurrent use.
type eraHold struct {
	era      uint64
	entering bool      // entering is set while the items of the first read in an era are applied.
	until    time.Time // until is the end of the hold; zero without one.
	// pending holds items of the first read that contradict what was known, until they are applied or the key is written again.
	pending  map[string]pendingItem
	held     int                 // held is the number of items that the hold has kept pending.
	changed  int                 // changed is the number of those whose key has changed in the new era.
	outdated int                 // outdated is the number of registrations of targets that were dropped as outdated.
	set      map[string]uint64   // set holds the revision of each evacuation and entry that is registered.
	ended    map[string]endedKey // ended holds evacuations and entries whose key was removed.
	// configuration is the item of the configuration in force; configurationEra is the era in which it was last read.
	configuration    mirror.Item
	configurationEra uint64
	former           map[notice.Incarnation]endedAt // former holds incarnations of targets that have ended.
}

// pendingItem is an item that is applied at a time.
type pendingItem struct {
	item mirror.Item
	at   time.Time
}

// endedKey is a key that was removed.
type endedKey struct {
	revision uint64 // revision is the revision of its last value.
	at       time.Time
}

// endedAt is the end of an incarnation of a target.
type endedAt struct {
	sequence uint64 // sequence is that of its last heartbeat.
	at       time.Time
}

func newEraHold() eraHold {
	return eraHold{
		pending: make(map[string]pendingItem), set: make(map[string]uint64), ended: make(map[string]endedKey),
		former: make(map[notice.Incarnation]endedAt),
	}
}

// active reports whether a restoration of the store may still explain missing and outdated items.
func (h *eraHold) active(now time.Time) bool { return now.Before(h.until) }

// recordKey records the value or the end of an evacuation or an entry.
func (h *eraHold) recordKey(it mirror.Item, now time.Time) {
	if !it.Removed {
		h.set[it.Key] = it.Revision
		delete(h.ended, it.Key)
		return
	}
	if revision, ok := h.set[it.Key]; ok {
		delete(h.set, it.Key)
		h.ended[it.Key] = endedKey{revision, now}
	}
}

// recordConfiguration records the item of the configuration in force.
func (h *eraHold) recordConfiguration(it mirror.Item) {
	h.configuration, h.configurationEra = it, h.era
}

// keptConfiguration returns the configuration in force if it is newer than the asker's version and was not written again
// in the asker's era of the store or in this entry's. The store has lost it, and the asker may never have known it.
func (e *Edge) keptConfiguration(era, version uint64) []mirror.Item {
	e.builderMu.Lock()
	defer e.builderMu.Unlock()
	h, current := &e.builder.hold, e.builder.book
	lost := h.active(time.Now()) && h.configurationEra < h.era || h.configurationEra < era
	if !lost || current == nil || current.Version() <= version {
		return nil
	}
	return []mirror.Item{{Key: h.configuration.Key, Value: h.configuration.Value}}
}

// statedVersion returns the version of the configuration in force for calls to peers, as long as they may keep a newer one:
// after the start and after a restoration of the store; else 0.
func (e *Edge) statedVersion() uint64 {
	now := time.Now()
	e.builderMu.Lock()
	defer e.builderMu.Unlock()
	h := &e.builder.hold
	if e.builder.book == nil || h.era == 0 || !h.active(now) && now.Sub(e.started) >= eraHoldTime {
		return 0
	}
	return e.builder.book.Version()
}

// recordFormer records the end of an incarnation of a target.
func (h *eraHold) recordFormer(t target.Target, now time.Time) {
	if len(h.former) >= maxFormerTargets {
		h.forget(now)
	}
	if len(h.former) < maxFormerTargets {
		h.former[incarnationOf(t)] = endedAt{t.Sequence(), now}
	}
}

// forget drops what ended too long ago to be in a copy from which the store is restored.
func (h *eraHold) forget(now time.Time) {
	for key, e := range h.ended {
		if now.Sub(e.at) >= endedFor {
			delete(h.ended, key)
		}
	}
	for incarnation, e := range h.former {
		if now.Sub(e.at) >= endedFor {
			delete(h.former, incarnation)
		}
	}
}

// isOutdated reports whether a registration comes from before what is known of its target. One that says that the
// target is leaving never is.
func (h *eraHold) isOutdated(old *targetState, t target.Target, now time.Time) bool {
	if !h.active(now) || t.Leaving() {
		return false
	}
	if e, ok := h.former[incarnationOf(t)]; ok && t.Sequence() <= e.sequence {
		return true
	}
	// A lapsed target is missing from the copy, so that any registration of it is new. Without start times
	// a lower sequence may be that of a restart.
	return old != nil && old.usableUntil.IsZero() && old.target.StartedMillis() == t.StartedMillis() && t.Sequence() <= old.target.Sequence() &&
		(h.entering || t.StartedMillis() != 0)
}

// enterEra begins a hold when the items that are applied next are the first of a later era of the store.
func (b *viewBuilder) enterEra(era uint64, now time.Time) {
	h := &b.hold
	h.entering = era > h.era && (b.book != nil || len(b.targets)+len(b.entries)+len(b.evacuatedZones) > 0)
	if h.entering {
		h.forget(now)
		h.until = now.Add(eraHoldTime)
		h.held, h.changed, h.outdated = len(h.pending), 0, 0
	}
	h.era = max(h.era, era)
}

// leaveFirstRead ends the first read in an era, which enterEra began; previous is the era before.
func (b *viewBuilder) leaveFirstRead(previous, revision uint64) {
	if b.hold.entering {
		b.hold.entering = false
		b.events.Log(event.EraChanged, "era", b.hold.era, "previous", previous, "revision", revision, "kept", b.hold.held, "outdated", b.hold.outdated, "for", eraHoldTime)
	}
}

// holdBack reports whether the item contradicts what was known before the store was restored, and keeps it
// pending then: an evacuation that is gone or is there again, another entry that is gone or is there again. Any other
// item ends the wait of its key.
func (b *viewBuilder) holdBack(it mirror.Item, now time.Time) bool {
	h := &b.hold
	wait := time.Duration(0)
	if h.entering {
		wait = b.holdTime(it)
	}
	_, waiting := h.pending[it.Key]
	if wait > 0 {
		h.pending[it.Key] = pendingItem{it, now.Add(wait)}
		if !waiting {
			h.held++
		}
		return true
	}
	if waiting {
		delete(h.pending, it.Key)
		h.changed++
	}
	return false
}

// holdTime returns for how long an item of the first read in an era is kept pending.
func (b *viewBuilder) holdTime(it mirror.Item) time.Duration {
	// A value of the revision that ended is that of the copy; one that was written again has another revision.
	ended, isEnded := b.hold.ended[it.Key]
	returns := !it.Removed && isEnded && ended.revision == it.Revision
	if zone, ok := b.keys.EvacuatedZone(it.Key); ok && (returns && !b.evacuatedZones[zone] || it.Removed && b.evacuatedZones[zone]) {
		return eraHoldTime
	}
	if name, ok := b.keys.EntryName(it.Key); ok && name != b.self.Name {
		switch _, known := b.entries[name]; {
		case known && it.Removed:
			return lapseGrace // It registers again if it lives.
		case !known && returns:
			return eraHoldTime // Its lease ends in the restored store before.
		}
	}
	return 0
}

// releaseHeld applies the items whose time has come and reports whether there were any.
func (b *viewBuilder) releaseHeld(now time.Time) (changed bool) {
	h := &b.hold
	for key, p := range h.pending {
		if !now.Before(p.at) {
			delete(h.pending, key)
			b.logInvalid(p.item, b.applyItem(p.item, now))
			changed = true
		}
	}
	if !h.until.IsZero() && !h.active(now) && len(h.pending) == 0 {
		b.events.Log(event.EraSettled, "era", h.era, "kept", h.held, "changed", h.changed, "outdated", h.outdated)
		h.until = time.Time{}
	}
	return changed
}

// registerEraGauges registers the metrics of the store's era and of the confirmed age.
func (e *Edge) registerEraGauges() {
	e.meters.registerGauge("store.confirmed-age-ms", func() int64 { return e.follower.ConfirmedAge().Milliseconds() })
	e.meters.registerGauge("store.era", func() int64 { return int64(e.mirror.Position().Era) })
}
