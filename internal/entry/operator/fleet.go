package operator

import (
	"slices"
	"time"
)

// fleetWire is the status of the fleet as collected by the entry that serves the request.
type fleetWire struct {
	Entry    string            `json:"entry"`
	Region   string            `json:"region"`
	Zone     string            `json:"zone"`
	At       time.Time         `json:"at"`
	Version  uint64            `json:"version"`
	Floor    uint64            `json:"floor"`
	Isolated bool              `json:"isolated"`
	Store    bool              `json:"store"`
	Roster   float64           `json:"roster"` // seconds
	Shown    []string          `json:"shown"`  // regions
	Targets  []fleetTargetWire `json:"targets"`
	Regions  []regionWire      `json:"regions"`
	Links    []linkWire        `json:"links"`
	Drains   []fleetDrainWire  `json:"drains"`
	Entries  []fleetEntryWire  `json:"entries"`
	Missing  []string          `json:"missing"` // entries that did not answer
}

// fleetTargetWire is a target with the sums over the entries that use it. Owner is empty when no owner answered.
type fleetTargetWire struct {
	targetWire
	Claims []claimWire `json:"claims,omitempty"` // set when several entries use the target, as during a change of owner
}

// claimWire is the use of a target by one entry.
type claimWire struct {
	Entry   string `json:"entry"`
	Owned   bool   `json:"owned"`
	Busy    int    `json:"busy"`
	Limit   int    `json:"limit"`
	Leaving bool   `json:"leaving"`
}

type fleetDrainWire struct {
	drainStatusWire
	Closed int      `json:"closed"` // targets whose owners admit no new requests
	Silent []string `json:"silent"` // targets whose owner did not answer
}

type fleetEntryWire struct {
	memberWire
	Age      float64 `json:"age"` // seconds
	Isolated bool    `json:"isolated"`
	Answered bool    `json:"answered"`
	Problem  string  `json:"problem,omitempty"`
}

// reply is the status part of one member, or the error of the query.
type reply struct {
	member Member
	part   statusWire
	err    error
}

// merge combines the local entry's status and the replies of all entries, the local one included, into one status.
func merge(own Status, shown []string, replies []reply) fleetWire {
	out := fleetWire{
		Entry: own.Entry, Region: own.Region, Zone: own.Zone, At: own.At, Version: own.Version, Floor: own.Floor,
		Isolated: own.Isolated, Store: own.StoreReachable, Roster: own.VMListAge.Seconds(), Shown: shown, Missing: []string{},
	}
	var parts []statusWire
	unanswered := make(map[string]bool) // regions with an entry that may use targets and did not answer
	for _, r := range replies {
		out.Entries = append(out.Entries, entryOf(r))
		if r.err == nil {
			parts = append(parts, r.part)
			continue
		}
		out.Missing = append(out.Missing, r.member.Name)
		if mayRun(r.member) {
			unanswered[r.member.Region] = true
		}
	}
	out.Targets = mergeTargets(own.ConfiguredTargets, shown, parts)
	out.Regions = mergeRegions(own.Regions, shown, parts)
	out.Links = mergeLinks(parts)
	out.Drains = mergeDrains(own.Drains, out.Targets, parts, unanswered)
	return out
}

func entryOf(r reply) fleetEntryWire {
	e := fleetEntryWire{memberWire: memberWire(r.member), Answered: r.err == nil}
	if r.err != nil {
		e.Problem = r.err.Error()
		return e
	}
	e.Version, e.Age, e.Isolated = r.part.Version, r.part.Age, r.part.Isolated
	return e
}

// mergeTargets returns every configured target of the regions, even if no owner answered.
func mergeTargets(configured []Target, shown []string, parts []statusWire) []fleetTargetWire {
	claims := make(map[string][]targetWire)
	for _, p := range parts {
		for _, t := range p.Targets {
			t.Owner = p.Entry
			claims[t.Name] = append(claims[t.Name], t)
		}
	}
	out := []fleetTargetWire{}
	for _, t := range configured {
		if slices.Contains(shown, t.Region) {
			out = append(out, mergeTarget(targetWire(t), claims[t.Name]))
		}
	}
	return out
}

// mergeTarget sums the claims, one for each entry that uses the target. The owner is the claimant with the highest
// gate limit: during a change of owner that is the entry which serves the target, because the new owner does not admit
// requests yet.
func mergeTarget(t targetWire, claims []targetWire) fleetTargetWire {
	out := fleetTargetWire{targetWire: t}
	out.Owner, out.Owned = "", false
	topLimit, closed := -1, true
	for _, c := range claims {
		out.Busy += c.Busy
		out.Limit += c.Limit
		out.Load = max(out.Load, c.Load)
		out.Leaving = out.Leaving || c.Leaving
		closed = closed && c.Leaving
		if out.Cause == "" {
			out.Cause = c.Cause
		}
		if c.Owned && (c.Limit > topLimit || (c.Limit == topLimit && c.Owner < out.Owner)) {
			topLimit, out.Owner, out.Owned, out.Trust = c.Limit, c.Owner, true, c.Trust
		}
		if len(claims) > 1 {
			out.Claims = append(out.Claims, claimWire{c.Owner, c.Owned, c.Busy, c.Limit, c.Leaving})
		}
	}
	out.Quiet = out.Owned && closed && out.Busy == 0
	return out
}

// mergeRegions sums the requests in flight; the free slots are those known to the local entry.
func mergeRegions(own []Region, shown []string, parts []statusWire) []regionWire {
	out := []regionWire{}
	for _, g := range own {
		if !slices.Contains(shown, g.Name) {
			continue
		}
		region := regionWire{Name: g.Name, Free: g.Free}
		for _, p := range parts {
			for _, r := range p.Regions {
				if r.Name == g.Name {
					region.Busy += r.Busy
					region.Limit = max(region.Limit, r.Limit)
				}
			}
		}
		out = append(out, region)
	}
	return out
}

// mergeLinks sums use and share for each direction of a link; From is the region whose entries start the relays.
func mergeLinks(parts []statusWire) []linkWire {
	out := []linkWire{}
	for _, p := range parts {
		for _, l := range p.Links {
			i := slices.IndexFunc(out, func(o linkWire) bool { return o.From == l.From && o.To == l.To })
			if i < 0 {
				out = append(out, l)
				continue
			}
			out[i].Used += l.Used
			out[i].Share += l.Share
			out[i].Limit = max(out[i].Limit, l.Limit)
		}
	}
	slices.SortFunc(out, func(a, b linkWire) int { return comparePairs(a.From, b.From, a.To, b.To) })
	return out
}

// mergeDrains merges the progress of each drain of the local entry's configuration. A drain is quiet when the owner of
// every target reports that it admits no new requests, nothing is in flight and every entry of those regions answered.
func mergeDrains(own []Drain, targets []fleetTargetWire, parts []statusWire, unanswered map[string]bool) []fleetDrainWire {
	known := make(map[string]fleetTargetWire, len(targets))
	for _, t := range targets {
		known[t.Name] = t
	}
	out := []fleetDrainWire{}
	for _, d := range own {
		w := fleetDrainWire{drainStatusWire: drainStatusWire(d), Silent: []string{}}
		w.Busy, w.Quiet = 0, d.Active
		for _, name := range d.Targets {
			t := known[name]
			w.Busy += t.Busy
			w.Quiet = w.Quiet && t.Quiet && !unanswered[t.Region]
			switch {
			case !t.Owned:
				w.Silent = append(w.Silent, name)
			case t.Quiet || closed(t):
				w.Closed++
			}
		}
		for _, p := range parts {
			for _, o := range p.Drains {
				if o.Name == d.Name && w.Delayed == "" {
					w.Delayed = o.Delayed
				}
			}
		}
		out = append(out, w)
	}
	return out
}

// closed reports whether the target is leaving at every entry that uses it, so none admits new requests.
func closed(t fleetTargetWire) bool {
	return t.Leaving && !slices.ContainsFunc(t.Claims, func(c claimWire) bool { return !c.Leaving })
}
