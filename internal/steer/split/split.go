package split

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// countTTL is the age above which a peer's count of free slots is not used.
const countTTL = 2 * time.Second

// Update limits the relays to each peer: within the region by the peer's free
// slots, to other regions by an equal part of them, because every entry outside
// that region sees the same free slots and may relay there at the same time.
func Update(now time.Time, t *table.Tables) {
	others := make(map[string]int)
	for _, e := range t.Entries {
		for _, r := range t.Document.Regions() {
			if r.Name() != e.Region {
				others[r.Name()]++
			}
		}
	}
	if t.Changed || t.DrainChanged {
		updatePeerSlots(t)
	}
	down := updateReachability(now, t)
	spilled := make([]int, len(t.Services))
	for i := range t.Peers {
		p := &t.Peers[i]
		if p.Region == t.Region {
			p.Limit = regionalLimit(now, p)
		} else {
			p.Limit = remoteLimit(now, p, others[p.Region])
			spilled[p.Service] += p.Started
		}
		if e := down[p.Entry]; e != nil {
			p.Limit = probeLimit(now, e, p)
		}
	}
	updateSpillRates(t, spilled)
}

// updatePeerSlots sets the usable slots of each peer of the region, which follow from
// the owners of the targets.
func updatePeerSlots(t *table.Tables) {
	type key struct {
		entry   string
		service int
	}
	slots := make(map[key]int)
	for i := range t.Targets {
		r := &t.Targets[i]
		if r.Leaving == "" {
			slots[key{r.Owner, r.Service}] += max(0, r.Spec.Slots())
		}
	}
	for i := range t.Peers {
		t.Peers[i].Slots = slots[key{t.Peers[i].Entry, t.Peers[i].Service}]
	}
}

// regionalLimit allows relays for at least half of a peer's slots whatever its
// count, because the count is older than a request takes and a full peer queues
// requests. A peer without a current count gets one relay, so that it is tried.
func regionalLimit(now time.Time, p *table.Peer) int {
	if !reachable(p.State) || p.Slots <= 0 {
		return 0
	}
	if !p.HasSlotCount || now.Sub(p.SlotCount.At) > countTTL {
		return 1
	}
	return max(1, p.Slots/2, limitFromCount(p, p.SlotCount.Free))
}

func remoteLimit(now time.Time, p *table.Peer, others int) int {
	if p.State != table.Alive || !p.HasSlotCount || now.Sub(p.SlotCount.At) > countTTL || p.SlotCount.Free <= 0 {
		return 0
	}
	return limitFromCount(p, max(1, p.SlotCount.Free/max(1, others)))
}

// limitFromCount returns the peer's limit. It computes a new limit only once from
// each count of free slots, because relays that have started since use up the slots.
func limitFromCount(p *table.Peer, free int) int {
	if p.SlotCount.At.After(p.LimitSetFrom) {
		p.LimitSetFrom = p.SlotCount.At
		return p.InFlight + free
	}
	if p.Refused > 0 {
		return min(p.Limit, p.InFlight)
	}
	return p.Limit
}

func reachable(s table.State) bool { return s == table.Alive || s == table.Suspect }

func updateSpillRates(t *table.Tables, spilled []int) {
	seconds := t.Elapsed.Seconds()
	if seconds <= 0 {
		return
	}
	smoothing := min(1, seconds/5)
	for i := range t.Services {
		rate := float64(spilled[i]) / seconds
		t.Services[i].SpillRate += smoothing * (rate - t.Services[i].SpillRate)
	}
}
