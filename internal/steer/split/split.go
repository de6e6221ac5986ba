package split

import (
	"time"

	"tamarackspool/internal/steer/table"
)

// A peer's count of free slots is not used when it is older than this.
const stale = 2 * time.Second

// Update bounds the relays to each peer: within the region by its free slots,
// to other regions by an equal part of them, because every entry outside that
// region sees the same slots and may spill there at the same moment.
func Update(now time.Time, t *table.Tables) {
	others := make(map[string]int)
	for _, e := range t.Entries {
		for _, r := range t.Document.Regions() {
			if r.Name() != e.Region {
				others[r.Name()]++
			}
		}
	}
	if t.Changed || t.Moved {
		owned(t)
	}
	down := unopened(now, t)
	spilled := make([]int, len(t.Services))
	for i := range t.Peers {
		p := &t.Peers[i]
		if p.Region == t.Region {
			p.Limit = near(now, p)
		} else {
			p.Limit = far(now, p, others[p.Region])
			spilled[p.Service] += p.Started
		}
		if e := down[p.Entry]; e != nil {
			p.Limit = probe(now, e, p)
		}
	}
	smooth(t, spilled)
}

// owned counts the slots of each peer of the region that take requests, which
// follow from the owners of the targets.
func owned(t *table.Tables) {
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

// near lets relays for half of a peer's slots through whatever its count says:
// the count is older than a request takes, and a full peer lets requests wait.
// A peer without a current count gets one, so that it is tried.
func near(now time.Time, p *table.Peer) int {
	if !reachable(p.State) || p.Slots <= 0 {
		return 0
	}
	if !p.Heard || now.Sub(p.Room.At) > stale {
		return 1
	}
	return max(1, p.Slots/2, count(p, p.Room.Free))
}

func far(now time.Time, p *table.Peer, others int) int {
	if p.State != table.Alive || !p.Heard || now.Sub(p.Room.At) > stale || p.Room.Free <= 0 {
		return 0
	}
	return count(p, max(1, p.Room.Free/max(1, others)))
}

// count sets the limit once for each count of the peer: relays that have
// started since use up its free slots.
func count(p *table.Peer, free int) int {
	if p.Room.At.After(p.Used) {
		p.Used = p.Room.At
		return p.InFlight + free
	}
	if p.Refused > 0 {
		return min(p.Limit, p.InFlight)
	}
	return p.Limit
}

func reachable(s table.State) bool { return s == table.Alive || s == table.Suspect }

func smooth(t *table.Tables, spilled []int) {
	seconds := t.Elapsed.Seconds()
	if seconds <= 0 {
		return
	}
	part := min(1, seconds/5)
	for i := range t.Services {
		rate := float64(spilled[i]) / seconds
		t.Services[i].Spilled += part * (rate - t.Services[i].Spilled)
	}
}
