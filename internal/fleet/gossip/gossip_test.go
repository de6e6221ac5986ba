package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/fleet/member"
)

// Guards against entries that do not find each other or a version that does not reach all of them within 2 s.
func TestFleetConvergesAndSpreadsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		f.nodes[0].SetRooms([]member.Room{member.NewRoom("entry-000", "orders", 7, time.Now())})
		time.Sleep(10 * time.Second)
		if got := f.states(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive", got)
		}
		f.nodes[0].holder.set(5)
		f.nodes[0].Push(t.Context())
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			if v, _, _ := n.holder.Raw(); v != 5 {
				t.Errorf("%s holds version %d", n.address, v)
			}
			if !n.Confirmed(time.Now().Add(-3 * time.Second)) {
				t.Errorf("%s is not confirmed", n.address)
			}
			if rooms := n.Rooms(); len(rooms) != 1 || rooms[0].Free() != 7 {
				t.Errorf("%s knows rooms %v", n.address, rooms)
			}
			if got := len(n.Watchers()); got != 3 {
				t.Errorf("%s knows %d watchers", n.address, got)
			}
		}
		c := f.nodes[1].Counts()
		t.Logf("12 s: %+v interval %v", c, f.nodes[1].Interval())
	})
}
