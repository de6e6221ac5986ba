package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an entry that many peers call, here the only one of its region, whose interval grows with the
// number of callers, so that it is late to learn of a new configuration and spends more than its budget.
func TestPopularEntryKeepsItsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: newNetwork()}
		defer f.stop()
		const others = 8
		f.seeds = append(f.seeds, address(0))
		for i := range others {
			f.seeds = append(f.seeds, address(2*i+1))
		}
		popular := f.start(0, 1, 1, "key")
		f.nodes = append(f.nodes, popular)
		for i := range others {
			f.nodes = append(f.nodes, f.start(2*i+1, 2, 1, "key"))
		}
		time.Sleep(2 * time.Minute)
		before := popular.Counts().Sent
		time.Sleep(30 * time.Second)
		if got := popular.Interval(); got > time.Second {
			t.Errorf("interval %v with %d callers", got, others)
		}
		if rate := (popular.Counts().Sent - before) / 30; rate > 4096 {
			t.Errorf("%d bytes/s sent", rate)
		}
		t.Logf("interval %v, %d bytes/s", popular.Interval(), (popular.Counts().Sent-before)/30)
	})
}
