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

// Guards against members that are falsely declared dead because of packet loss and varying delay.
func TestLossyNetworkCausesNoFalseDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		random := rand.New(rand.NewPCG(7, 7))
		f.network.mu.Lock()
		f.network.delay = func() time.Duration {
			if random.IntN(20) == 0 { // TCP retransmits a lost segment after about 300 ms.
				return 300 * time.Millisecond
			}
			return time.Duration(random.IntN(70)) * time.Millisecond
		}
		f.network.mu.Unlock()
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			if dead := n.events.count(event.MemberDead); dead > 0 {
				t.Errorf("%s reported %d deaths", n.address, dead)
			}
		}
	})
}

// Guards against a member that is declared dead during a pause of 3 s or that stays suspect afterwards.
func TestPausedMemberIsSuspectOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(20 * time.Second)
		paused := f.nodes[4].address
		f.network.setCut(func(from, to string) bool { return from == paused || to == paused })
		time.Sleep(3 * time.Second)
		if got := f.nodes[1].state("entry-004"); got != member.Suspect {
			t.Errorf("during the pause: %v, interval %v", got, f.nodes[1].Interval())
		}
		f.network.setCut(nil)
		time.Sleep(6 * time.Second)
		for _, n := range f.nodes {
			if n.address != paused && (n.state("entry-004") != member.Alive || n.events.count(event.MemberDead) > 0) {
				t.Errorf("%s: %v after the pause, %d deaths", n.address, n.state("entry-004"), n.events.count(event.MemberDead))
			}
		}
	})
}

// Guards against an entry that keeps using a connection without answers although a new connection would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.network.silenceConns()
		time.Sleep(10 * time.Second)
		if got := f.countMembers(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive", got)
		}
		if f.nodes[0].Counts().TimedOutCalls == 0 {
			t.Error("no call that timed out was counted")
		}
	})
}

// Guards against a replacement entry that starts with an old configuration or an unconfirmed incarnation while the store
// is unavailable.
func TestReplacedEntryStartsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		for _, n := range f.nodes {
			n.holder.set(9)
		}
		time.Sleep(10 * time.Second)
		f.nodes[5].stop()
		f.nodes[5] = f.start(5, 3, 0, "key") // Its incarnation is lower than the one that it replaces.
		if got := f.nodes[5].Bootstrap(t.Context()); got != 11 {
			t.Errorf("%d peers answered", got)
		}
		if v, _, _ := f.nodes[5].holder.Raw(); v != 9 {
			t.Errorf("version %d after the bootstrap", v)
		}
		time.Sleep(3 * time.Second)
		if !f.nodes[5].ConfirmedSince(time.Now().Add(-2*time.Second)) || f.nodes[5].holder.versionFloor() != 9 {
			t.Errorf("confirmed = %v, floor = %d", f.nodes[5].IncarnationState(), f.nodes[5].holder.versionFloor())
		}
		if got := f.countMembers(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive", got)
		}
	})
}

// Guards against a paused process that resumes next to its replacement and continues to use the shares of its name.
func TestResumedOldIncarnationIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		old := f.nodes[5]
		var replaced bool
		f.network.setCut(func(from, to string) bool {
			return from == old.address && !replaced || to == old.address && !replaced
		})
		time.Sleep(10 * time.Second)
		f.network.mu.Lock()
		replaced = true
		f.network.mu.Unlock()
		f.nodes[5] = f.start(5, 3, 2, "key")
		f.nodes[5].Bootstrap(t.Context())
		resumed := time.Now()
		time.Sleep(15 * time.Second)
		if old.ConfirmedSince(resumed) || old.IncarnationState() != member.Superseded {
			t.Errorf("the old incarnation is %v", old.IncarnationState())
		}
		if !f.nodes[5].ConfirmedSince(resumed) {
			t.Errorf("the new incarnation is %v", f.nodes[5].IncarnationState())
		}
		old.stop()
	})
}

// Guards against an entry that adopts an older configuration from a peer.
func TestPeerWithOlderVersionNeverLowersIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		for i, n := range f.nodes {
			n.holder.set(uint64(10 + i%4))
		}
		time.Sleep(20 * time.Second)
		for _, n := range f.nodes {
			if adopted := n.holder.adoptedVersions(); !slices.IsSorted(adopted) {
				t.Errorf("%s adopted %v", n.address, adopted)
			}
			if v, _, _ := n.holder.Raw(); v != 13 {
				t.Errorf("%s holds version %d", n.address, v)
			}
		}
	})
}

// Guards against a planned shutdown whose state or successors do not reach the other entries.
func TestStopAnnouncesSuccessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		successors := f.nodes[0].HandOverTickets(t.Context(), []byte("tickets"))
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

// Guards against a peer without the shared key that takes part in exchanges.
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
			t.Errorf("the peer with the wrong key knows %d members", got)
		}
		if v, _, _ := f.nodes[2].holder.Raw(); v != 0 {
			t.Errorf("the peer with the wrong key holds version %d", v)
		}
		if f.nodes[0].Counts().RefusedConns+f.nodes[1].Counts().RefusedConns+f.nodes[2].Counts().RefusedConns == 0 {
			t.Error("no refusal was counted")
		}
	})
}

// Guards against regions that do not reconnect after a partition of an hour, or that exceed the budget when they do.
func TestPartitionedRegionsReconnectWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 3)
		f.interval = 4 * time.Second // An hour at the default interval takes minutes of CPU time.
		f.startNodes(12, 3)
		defer f.stop()
		time.Sleep(2 * time.Minute)
		region := make(map[string]string)
		for _, n := range f.nodes {
			region[n.address] = n.Members()[0].Region()
			for _, m := range n.Members() {
				region[m.PeerAddr().String()] = m.Region()
			}
		}
		f.network.setCut(func(from, to string) bool { return (region[from] == "r0") != (region[to] == "r0") })
		time.Sleep(3 * time.Minute)
		if got := f.nodes[0].state("entry-001"); got != member.Dead {
			t.Errorf("across the partition: %v", got)
		}
		f.nodes[1].holder.set(8)
		f.nodes[0].holder.set(7)
		time.Sleep(57 * time.Minute)
		before := f.nodes[0].Counts().SentBytes
		f.network.setCut(nil)
		time.Sleep(4 * time.Minute)
		if got := f.countMembers(member.Alive); got != 144 {
			t.Errorf("%d of 144 records are alive after the partition", got)
		}
		for _, n := range f.nodes {
			if v, _, _ := n.holder.Raw(); v != 8 {
				t.Errorf("%s holds version %d", n.address, v)
			}
		}
		if rate := (f.nodes[0].Counts().SentBytes - before) / 240; rate > 4500 {
			t.Errorf("%d bytes/s sent after the partition", rate)
		}
		if f.nodes[0].events.count(event.RegionLost) == 0 || f.nodes[0].events.count(event.RegionReturned) == 0 {
			t.Error("the loss or the return of the regions was not reported")
		}
	})
}

// Guards against a duplicate answer that is accepted as the answer to another call.
func TestDuplicateAnswersAreDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 2)
		defer f.stop()
		f.network.mu.Lock()
		f.network.duplicateAnswers = true
		f.network.mu.Unlock()
		time.Sleep(10 * time.Second)
		if got := f.countMembers(member.Alive); got != 36 {
			t.Errorf("%d of 36 records are alive", got)
		}
		for _, n := range f.nodes {
			if n.Counts().LateAnswers == 0 {
				t.Errorf("%s counted no duplicate answer", n.address)
			}
		}
	})
}
