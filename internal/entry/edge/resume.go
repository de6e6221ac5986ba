package edge

import (
	"context"
	"time"

	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/mirror"
	"tamarackspool/internal/steer/quota"
)

const (
	// firstReadWait bounds how long a starting entry waits for the contents of the store before it registers: the
	// registration replaces that of its earlier process, which tells how long the entry has been registered.
	firstReadWait = 400 * time.Millisecond
	// resumeTimeout bounds the read of what has changed since the earlier registration.
	resumeTimeout = time.Second
	// gapMemory is how long a gap in this entry's knowledge counts: longer than a batch takes from its being applied to its confirmation.
	gapMemory = 10 * time.Second
)

// knowledgeGap notices changes of the registrations that this entry may not have seen; quotas.mu guards it.
type knowledgeGap struct {
	position   mirror.Position // position is the revision up to which removals may not be known.
	unseenEnds uint64
	noticed    time.Duration // noticed is the uptime at the last gap.
}

// check reports whether there was a gap lately.
func (g *knowledgeGap) check(p mirror.Position, unseenEnds uint64, now time.Duration) bool {
	if p != g.position || unseenEnds != g.unseenEnds {
		g.position, g.unseenEnds, g.noticed = p, unseenEnds, now
	}
	return now-g.noticed < gapMemory
}

// removalFloor returns the revision up to which removals may not be known, with its era.
func (e *Edge) removalFloor() mirror.Position {
	return mirror.Position{Era: e.mirror.Position().Era, Revision: e.mirror.RemovalFloor()}
}

// resumeOwning lets a restarted entry own accounts again at once if the registration of its earlier process, and what the
// store still has of the changes since, show that no other entry can have become their owner. If only the registration
// is there, the entry need not wait until the others know of the new one. Without this all accounts would be without owners
// for more than quota.Exclusion after all entries were killed together. It must be called before the entry registers.
func (e *Edge) resumeOwning(ctx context.Context) {
	if !e.settings.keepsAccounts() {
		return
	}
	t := time.NewTimer(firstReadWait)
	defer t.Stop()
	select {
	case <-e.configured:
	case <-t.C:
		return
	case <-ctx.Done():
		return
	}
	item, ok := e.mirror.Item(e.deps.Keys.EntryKey(e.settings.Name))
	if !ok || item.Removed {
		return
	}
	earlier, err := e.deps.Keys.DecodeEntry(e.settings.Name, item.Value)
	began := e.deps.Uptime()
	if err != nil || earlier.Since == 0 || earlier.Leaving || began-time.Duration(earlier.Since)*time.Millisecond < quota.LongRegistered {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	after := mirror.Position{Era: e.mirror.Position().Era, Revision: item.Revision}
	if earlier.Peer != e.self.Peer {
		return // The time of the registration is that of another VM's clock.
	}
	if earlier.Era != after.Era {
		return // In a copy from which the store was restored, the registration may have ended, and others still own by that.
	}
	b, err := e.deps.Store.Changes(ctx, after, 0)
	if err != nil || b.Unconfirmed || b.Era != after.Era {
		return
	}
	lasts, ended := !b.Snapshot, b.Snapshot
	for _, it := range b.Items {
		switch name, ok := e.deps.Keys.EntryName(it.Key); {
		case !ok:
		case name == e.settings.Name:
			lasts = b.Snapshot && it.Revision == item.Revision
		default:
			ended = ended || it.Removed
		}
	}
	if lasts {
		e.resumeTenure(began, !ended)
	}
}

// resumeTenure lets this entry own accounts by what was confirmed at the given uptime; allKnown is set when no
// registration has ended since this entry's was written.
func (e *Edge) resumeTenure(confirmed time.Duration, allKnown bool) {
	e.builderMu.Lock()
	now := time.Now()
	e.builder.roster = e.builder.roster.WithLongRegistered(e.settings.Name, e.deps.Uptime())
	e.view.Store(e.builder.buildView(e.mirror.Position().Revision, now))
	e.builderMu.Unlock()
	s := e.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure.Resume(confirmed, allKnown)
	s.gap.check(e.removalFloor(), e.view.Load().unseenEnds, e.deps.Uptime())
	s.gap.noticed = -gapMemory
	s.resumed = confirmed
}

// registration returns the entry's registration as it is written now.
func (e *Edge) registration() census.Entry {
	r := e.self
	if e.settings.keepsAccounts() {
		r.Since, r.Era = max(1, e.deps.Uptime().Milliseconds()), e.deps.Store.Era()
	}
	return r
}
