package quota

import (
	"slices"
	"strings"
	"time"

	"tamarackspool/internal/steer/placement"
)

// Exclusion is the delay that keeps two entries from owning an account in the same region: an entry stops to own accounts when its
// knowledge of the registrations is older, and no other one takes its place earlier after the end of its registration was seen.
const Exclusion = 3 * time.Second

// Member is a registered entry that is not leaving.
type Member struct {
	Name    string
	Region  string
	Address string // Address is the address for other entries.
}

// registration is a member with the times at which its registration and the end of it were seen.
type registration struct {
	Member
	hash  uint64
	since time.Duration // since is a moment at which the member was not yet registered.
	seen  time.Duration
	ended time.Duration // ended is 0 while the member is registered.
	// blocked is the time until which the member counts because of an earlier registration that has ended.
	blocked time.Duration
}

// Roster is the set of entries that may own accounts, as one entry has seen them. It is immutable and safe for concurrent use; the
// zero value has no entries.
type Roster struct {
	regions [][]registration // regions is sorted by region, and each by name.
	known   bool
}

// Next returns the roster after the set of members has been read at the given time. Members that are new have registered after
// since, at which the earlier set was known to be complete. The members that the first roster has may
// have been registered for long; it is assumed that they own accounts, except for the entry self.
func (r Roster) Next(members []Member, self string, since, now time.Duration) Roster {
	old := make(map[string]registration)
	for _, list := range r.regions {
		for _, g := range list {
			old[g.Name] = g
		}
	}
	var all []registration
	for _, m := range members {
		g, ok := old[m.Name]
		delete(old, m.Name)
		if !ok || g.ended != 0 || g.Region != m.Region {
			blocked := time.Duration(0)
			if ok && g.ended != 0 && g.Region == m.Region {
				blocked = max(g.blocked, g.ended+Exclusion)
			}
			g = registration{Member: m, hash: placement.HashName(m.Name), since: since, seen: now, blocked: blocked}
			if !r.known {
				g.since = now - Exclusion
				if m.Name != self {
					g.seen = now - Exclusion
				}
			}
		}
		g.Address = m.Address
		all = append(all, g)
	}
	for _, g := range old {
		if g.ended == 0 {
			g.ended = now
		}
		if now-g.ended < Exclusion {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(x, y registration) int {
		if c := strings.Compare(x.Region, y.Region); c != 0 {
			return c
		}
		return strings.Compare(x.Name, y.Name)
	})
	next := Roster{known: true}
	for i, g := range all {
		if i == 0 || g.Region != all[i-1].Region {
			next.regions = append(next.regions, nil)
		}
		last := len(next.regions) - 1
		next.regions[last] = append(next.regions[last], g)
	}
	return next
}

// WithLongRegistered returns the roster with the entry as one that has been registered for long; see Tenure.Resume.
func (r Roster) WithLongRegistered(name string, now time.Duration) Roster {
	next := Roster{known: r.known}
	for _, list := range r.regions {
		list = slices.Clone(list)
		for i := range list {
			if list[i].Name == name && list[i].ended == 0 {
				list[i].since, list[i].seen = now-Exclusion, now-Exclusion
			}
		}
		next.regions = append(next.regions, list)
	}
	return next
}

// Registered reports whether the roster has the entry as one that is registered.
func (r Roster) Registered(name string) bool {
	for _, list := range r.regions {
		if slices.ContainsFunc(list, func(g registration) bool { return g.Name == name && g.ended == 0 }) {
			return true
		}
	}
	return false
}

// lasts reports whether the entry is registered or may still own accounts.
func (g *registration) lasts(now time.Duration) bool {
	return g.ended == 0 || now-g.ended < Exclusion
}

// counts reports whether the entry may own accounts. A new one owns none for Exclusion, so that others own them until then.
func (g *registration) counts(now time.Duration) bool {
	return g.lasts(now) && (now-g.since >= Exclusion || now < g.blocked || g.ended != 0)
}

// Regions returns the number of regions in which an entry may own accounts.
func (r Roster) Regions(now time.Duration) int {
	n := 0
	for _, list := range r.regions {
		if slices.ContainsFunc(list, func(g registration) bool { return g.lasts(now) }) {
			n++
		}
	}
	return n
}

// best returns the entry of the region that the account is placed on; nil when there is none.
func best(list []registration, account placement.Key, now time.Duration) *registration {
	i := placement.Best(account, len(list), func(i int) uint64 { return list[i].hash }, func(i int) float64 {
		if list[i].counts(now) {
			return 1
		}
		return 0
	})
	if i < 0 {
		return nil
	}
	return &list[i]
}

// owns reports whether the registration has been seen for long enough to own accounts, and has not ended.
func (g *registration) owns(now time.Duration) bool { return g.ended == 0 && now-g.seen >= Exclusion }

// Key returns the placement key of an account.
func Key(account string) placement.Key { return placement.NewKey("quota", account) }

// Owns reports whether the entry is the owner of the account in its region.
func (r Roster) Owns(self string, account placement.Key, now time.Duration) bool {
	for _, list := range r.regions {
		for _, g := range list {
			if g.Name == self && g.ended == 0 {
				b := best(list, account, now)
				return b != nil && b.Name == self && b.owns(now)
			}
		}
	}
	return false
}

// Owners returns the owners of the account in the order in which a holder in the region asks them: its own region's first, then
// those of the following regions by name. A region is left out while its owner changes.
func (r Roster) Owners(region string, account placement.Key, now time.Duration) []Member {
	first, found := slices.BinarySearchFunc(r.regions, region, func(list []registration, name string) int {
		return strings.Compare(list[0].Region, name)
	})
	_ = found // Without a registered entry in the region the order begins with the region that follows.
	owners := make([]Member, 0, len(r.regions))
	for i := range r.regions {
		if b := best(r.regions[(first+i)%len(r.regions)], account, now); b != nil && b.owns(now) {
			owners = append(owners, b.Member)
		}
	}
	return owners
}
