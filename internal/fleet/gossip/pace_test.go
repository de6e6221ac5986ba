package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an interval that grows with the number of peers that call an entry, here the only one of its region. Such
// an entry receives new configurations late and exceeds its budget.
func TestManyPeersDoNotLengthenTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, network: newNetwork()}
		defer f.stop()
		const callingPeers = 8
		f.seeds = append(f.seeds, address(0))
		for i := range callingPeers {
			f.seeds = append(f.seeds, address(2*i+1))
		}
		called := f.start(0, 1, 1, "key")
		f.nodes = append(f.nodes, called)
		for i := range callingPeers {
			f.nodes = append(f.nodes, f.start(2*i+1, 2, 1, "key"))
		}
		time.Sleep(2 * time.Minute)
		before := called.Counts().SentBytes
		time.Sleep(30 * time.Second)
		if got := called.Interval(); got > time.Second {
			t.Errorf("interval %v with %d calling peers", got, callingPeers)
		}
		if rate := (called.Counts().SentBytes - before) / 30; rate > 4096 {
			t.Errorf("%d bytes/s sent", rate)
		}
		t.Logf("interval %v, %d bytes/s", called.Interval(), (called.Counts().SentBytes-before)/30)
	})
}
