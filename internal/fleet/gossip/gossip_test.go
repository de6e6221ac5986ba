package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/fleet/member"
)

// Guards against entries that do not discover each other and a configuration version that does not reach all within 2 s.
func TestFleetConvergesAndSpreadsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		f.nodes[0].SetFreeSlots([]member.FreeSlots{member.NewFreeSlots("entry-000", "orders", 7, time.Now())})
		time.Sleep(10 * time.Second)
		if got := f.countMembers(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive", got)
		}
		f.nodes[0].holder.set(5)
		f.nodes[0].Push(t.Context())
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			if v, _, _ := n.holder.Raw(); v != 5 {
				t.Errorf("%s holds version %d", n.address, v)
			}
			if !n.ConfirmedSince(time.Now().Add(-3 * time.Second)) {
				t.Errorf("%s is not confirmed", n.address)
			}
			if freeSlots := n.FreeSlots(); len(freeSlots) != 1 || freeSlots[0].Count() != 7 {
				t.Errorf("%s knows free slots %v", n.address, freeSlots)
			}
			if got := len(n.Watchers()); got != 3 {
				t.Errorf("%s knows %d watchers", n.address, got)
			}
		}
		c := f.nodes[1].Counts()
		t.Logf("12 s: %+v interval %v", c, f.nodes[1].Interval())
	})
}
