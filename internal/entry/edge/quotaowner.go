package edge

import (
	"slices"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/quota"
)

// grantTokens answers a request for tokens.
func (e *Edge) grantTokens(request quotaRequest) quotaAnswer {
	s := e.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	o, limit := e.ownedBucket(request.Account)
	if o == nil {
		return quotaAnswer{}
	}
	granted, wait := o.Grant(request.Want, request.Waiting, e.deps.Uptime())
	// A pause between the check and the grant could have ended this entry's right to grant.
	if o, _ := e.ownedBucket(request.Account); o == nil {
		return quotaAnswer{}
	}
	if granted == 0 {
		s.refusedCalls.Inc(1)
	}
	s.granted.Inc(int64(granted))
	return quotaAnswer{Granted: granted, Lifetime: s.tolerance.Lifetime(limit).Milliseconds(), Wait: wait.Milliseconds(), Owner: true}
}

// ownedBucket returns the bucket of the account and its limit if this entry may grant its tokens now, else nil; quotas.mu is held.
// The age is read before the view, because a view of before a pause must not count as confirmed by an age of after it.
func (e *Edge) ownedBucket(account string) (*quota.Owner, quota.Limit) {
	s := e.quotas
	holds := e.holdsTenure()
	v, now := e.view.Load(), e.deps.Uptime()
	if !holds {
		return nil, quota.Limit{}
	}
	limit := v.accountLimit(account)
	if !limit.Limited() || !v.roster.Owns(e.settings.Name, quota.Key(account), now) {
		delete(s.owned, account)
		return nil, quota.Limit{}
	}
	wide, regions := s.tolerance.Widen(limit), v.roster.Regions(now)
	o := s.owned[account]
	if o == nil {
		o = quota.NewOwner(wide, regions, now)
		s.owned[account] = o
	}
	o.SetLimit(wide, regions, now)
	if e.stalled() || e.stopping.Load() {
		return nil, quota.Limit{}
	}
	return o, limit
}

// holdsTenure reports whether this entry may own accounts, and discards its buckets when it may not; quotas.mu is held.
func (e *Edge) holdsTenure() bool {
	// The age is read first: what it counts as confirmed is in the mirror and in the view by then.
	age := e.follower.ConfirmedAge()
	now := e.deps.Uptime()
	gap := e.quotas.gap.check(e.removalFloor(), e.view.Load().unseenEnds, now)
	if e.quotas.tenure.Holds(age, now, gap) {
		return true
	}
	clear(e.quotas.owned)
	return false
}

// suspendOwning ends this entry's right to grant tokens until the others know of its registration.
func (e *Edge) suspendOwning() {
	e.quotas.mu.Lock()
	defer e.quotas.mu.Unlock()
	e.quotas.tenure.Suspend(e.deps.Uptime())
}

// takeResumed reports whether the tenure of an earlier process goes on through this registration, the first of the
// process. It does not when the registration was delayed, as the earlier one may have ended meanwhile.
func (e *Edge) takeResumed() bool {
	e.quotas.mu.Lock()
	defer e.quotas.mu.Unlock()
	at := e.quotas.resumed
	e.quotas.resumed = 0
	return at > 0 && e.deps.Uptime()-at < leaseCallTimeout
}

// tickQuotas checks this entry's right to own accounts. From time to time it creates the buckets of the accounts that the entry
// owns, which begin to accrue then, and discards what is no longer used.
func (e *Edge) tickQuotas() {
	s := e.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := e.holdsTenure()
	s.ticks++
	if s.ticks%sweepTicks != 0 {
		return
	}
	v, now := e.view.Load(), e.deps.Uptime()
	if holds && v.book != nil {
		for _, name := range v.book.AccountNames() {
			_, _ = e.ownedBucket(name)
		}
		for name := range s.owned {
			if !v.accountLimit(name).Limited() {
				delete(s.owned, name)
			}
		}
	}
	for name, h := range s.holders {
		if now-h.used >= holderIdleTime && h.waiting == 0 && !h.asking {
			delete(s.holders, name)
		}
	}
	for name, until := range s.silent {
		if now >= until {
			delete(s.silent, name)
		}
	}
	if len(s.owned) != s.logged {
		s.logged = len(s.owned)
		e.events.Log(event.QuotaOwner, "accounts", s.logged, "regions", v.roster.Regions(now), "confirmed-age", e.follower.ConfirmedAge())
	}
	s.links.closeIdle(time.Now())
}

// nextRoster returns the entries that may own accounts after a change that was read from the store.
func (b *viewBuilder) nextRoster(revision uint64) quota.Roster {
	if revision == 0 {
		return quota.Roster{}
	}
	members := make([]quota.Member, 0, len(b.entries))
	for _, o := range b.entries {
		if !o.Leaving {
			members = append(members, quota.Member{Name: o.Name, Region: o.Region, Address: o.Peer})
		}
	}
	b.roster = b.roster.Next(members, b.self.Name, b.confirmed(), b.uptime())
	return b.roster
}

// quotaConfirmation is the bound for which the follower keeps its confirmed age low where accounts have quotas: owners stop
// granting at quota.Exclusion, and with watches that are held open for 2 s the age rises to 4 s.
const quotaConfirmation = 5 * time.Second

// requireConfirmation makes the follower confirm its knowledge often enough for the version in force.
func (e *Edge) requireConfirmation(v *view) {
	if e.settings.RevokeBound > 0 || v.book == nil {
		return
	}
	if slices.ContainsFunc(v.book.AccountNames(), func(name string) bool { return v.accountLimit(name).Limited() }) {
		e.follower.RequireConfirmation(quotaConfirmation)
	}
}
