package gossip_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// Guards against members that flap between alive and dead on lossy links with varying delay.
func TestLossyLinksWithVaryingDelayKillNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		random := rand.New(rand.NewPCG(7, 7))
		f.net.mu.Lock()
		f.net.delay = func() time.Duration {
			if random.IntN(20) == 0 { // TCP repeats a lost segment after about 300 ms.
				return 300 * time.Millisecond
			}
			return time.Duration(random.IntN(70)) * time.Millisecond
		}
		f.net.mu.Unlock()
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			if dead := n.journal.count(event.MemberDead); dead > 0 {
				t.Errorf("%s reported %d deaths", n.address, dead)
			}
		}
	})
}

// Guards against a process that is paused for 3 s and is declared dead, or that stays suspect afterwards.
func TestPauseDoesNotFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(20 * time.Second)
		paused := f.nodes[4].address
		f.net.setCut(func(from, to string) bool { return from == paused || to == paused })
		time.Sleep(3 * time.Second)
		if got := f.nodes[1].state("entry-004"); got != member.Suspect {
			t.Errorf("during the pause: %v, interval %v", got, f.nodes[1].Interval())
		}
		f.net.setCut(nil)
		time.Sleep(6 * time.Second)
		for _, n := range f.nodes {
			if n.address != paused && (n.state("entry-004") != member.Alive || n.journal.count(event.MemberDead) > 0) {
				t.Errorf("%s: %v after the pause, %d deaths", n.address, n.state("entry-004"), n.journal.count(event.MemberDead))
			}
		}
	})
}

// Guards against a connection that has gone silent and keeps an entry from its peers although new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.net.silence()
		time.Sleep(10 * time.Second)
		if got := f.states(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive", got)
		}
		if f.nodes[0].Counts().Silent == 0 {
			t.Error("no silent connection was counted")
		}
	})
}

// Guards against a replaced entry that serves an old configuration or an unconfirmed incarnation while the store is down.
func TestReplacedEntryStartsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		for _, n := range f.nodes {
			n.holder.set(9)
		}
		time.Sleep(10 * time.Second)
		f.nodes[5].stop()
		f.nodes[5] = f.start(5, 3, 0, "key") // A lower incarnation than the one it replaces.
		if got := f.nodes[5].Bootstrap(t.Context()); got != 11 {
			t.Errorf("%d peers answered", got)
		}
		if v, _, _ := f.nodes[5].holder.Raw(); v != 9 {
			t.Errorf("version %d after the bootstrap", v)
		}
		time.Sleep(3 * time.Second)
		if !f.nodes[5].Confirmed(time.Now().Add(-2*time.Second)) || f.nodes[5].holder.lowest() != 9 {
			t.Errorf("confirmed = %v, floor = %d", f.nodes[5].Standing(), f.nodes[5].holder.lowest())
		}
		if got := f.states(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive", got)
		}
	})
}

// Guards against an old process that wakes beside its replacement and goes on using its name's shares.
func TestOldIncarnationThatWakesIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		old := f.nodes[5]
		var replaced bool
		f.net.setCut(func(from, to string) bool {
			return from == old.address && !replaced || to == old.address && !replaced
		})
		time.Sleep(10 * time.Second)
		f.net.mu.Lock()
		replaced = true
		f.net.mu.Unlock()
		f.nodes[5] = f.start(5, 3, 2, "key")
		f.nodes[5].Bootstrap(t.Context())
		woke := time.Now()
		time.Sleep(15 * time.Second)
		if old.Confirmed(woke) || old.Standing() != member.Superseded {
			t.Errorf("the old incarnation is %v", old.Standing())
		}
		if !f.nodes[5].Confirmed(woke) {
			t.Errorf("the new incarnation is %v", f.nodes[5].Standing())
		}
		old.stop()
	})
}

// Guards against an entry that takes an older configuration from a peer that lags.
func TestLaggingPeerNeverLowersTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		for i, n := range f.nodes {
			n.holder.set(uint64(10 + i%4))
		}
		time.Sleep(20 * time.Second)
		for _, n := range f.nodes {
			if adopted := n.holder.history(); !slices.IsSorted(adopted) {
				t.Errorf("%s adopted %v", n.address, adopted)
			}
			if v, _, _ := n.holder.Raw(); v != 13 {
				t.Errorf("%s holds version %d", n.address, v)
			}
		}
	})
}

// Guards against a planned stop whose successors or state do not reach the others.
func TestStopNamesHeirs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		successors := f.nodes[0].Handover(t.Context(), []byte("tickets"))
		if len(successors) != 3 {
			t.Errorf("successors = %v", successors)
		}
		f.nodes[0].SetSuccessors(successors)
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes[1:] {
			if n.state("entry-000") != member.Leaving || len(n.Successors([16]byte{1, 0})) != 3 {
				t.Errorf("%s: %v, successors %v", n.address, n.state("entry-000"), n.Successors([16]byte{1, 0}))
			}
		}
	})
}

// Guards against a peer without the key that takes part in the exchange.
func TestWrongKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stop()
		f.nodes[2].stop()
		f.nodes[2] = f.start(2, 1, 9, "another key")
		f.nodes[0].holder.set(4)
		if got := f.nodes[2].Bootstrap(context.Background()); got != 0 {
			t.Errorf("%d peers answered", got)
		}
		time.Sleep(10 * time.Second)
		if got := len(f.nodes[2].Members()); got != 1 {
			t.Errorf("the stranger knows %d members", got)
		}
		if v, _, _ := f.nodes[2].holder.Raw(); v != 0 {
			t.Errorf("the stranger holds version %d", v)
		}
		if f.nodes[0].Counts().Refused+f.nodes[1].Counts().Refused+f.nodes[2].Counts().Refused == 0 {
			t.Error("no refusal was counted")
		}
	})
}

// Guards against regions that do not find each other after an hour apart, or that rejoin with a storm of messages.
func TestPartitionedRegionsRejoinWithoutStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 3)
		f.interval = 4 * time.Second // An hour at the usual interval takes minutes of processor time.
		f.grow(12, 3)
		defer f.stop()
		time.Sleep(2 * time.Minute)
		region := make(map[string]string)
		for _, n := range f.nodes {
			region[n.address] = n.Members()[0].Region()
			for _, m := range n.Members() {
				region[m.Peer().String()] = m.Region()
			}
		}
		f.net.setCut(func(from, to string) bool { return (region[from] == "r0") != (region[to] == "r0") })
		time.Sleep(3 * time.Minute)
		if got := f.nodes[0].state("entry-001"); got != member.Dead {
			t.Errorf("across the partition: %v", got)
		}
		f.nodes[1].holder.set(8)
		f.nodes[0].holder.set(7)
		time.Sleep(57 * time.Minute)
		before := f.nodes[0].Counts().Sent
		f.net.setCut(nil)
		time.Sleep(4 * time.Minute)
		if got := f.states(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive after the partition", got)
		}
		for _, n := range f.nodes {
			if v, _, _ := n.holder.Raw(); v != 8 {
				t.Errorf("%s holds version %d", n.address, v)
			}
		}
		if rate := (f.nodes[0].Counts().Sent - before) / 240; rate > 4500 {
			t.Errorf("%d bytes/s sent after the partition", rate)
		}
		if f.nodes[0].journal.count(event.RegionLost) == 0 || f.nodes[0].journal.count(event.RegionReturned) == 0 {
			t.Error("the loss or the return of the regions was not reported")
		}
	})
}

// Guards against a repeated answer that is taken for the answer to another call.
func TestRepeatedAnswersAreDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 2)
		defer f.stop()
		f.net.mu.Lock()
		f.net.repeat = true
		f.net.mu.Unlock()
		time.Sleep(10 * time.Second)
		if got := f.states(member.Alive); got != 36 {
			t.Errorf("%d of 36 records are alive", got)
		}
		for _, n := range f.nodes {
			if n.Counts().Late == 0 {
				t.Errorf("%s counted no repeated answer", n.address)
			}
		}
	})
}
