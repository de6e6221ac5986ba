package member_test

import (
	"slices"
	"testing"
	"time"

	"tamarackspool/internal/fleet/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(name string, incarnation byte, epoch uint32, sequence uint64) member.Member {
	return member.New(member.Fields{
		Name: name, Incarnation: [16]byte{incarnation}, Epoch: epoch, Sequence: sequence, Zone: "a", Region: "r",
	})
}

func state(t *testing.T, table *member.Table, name string) member.State {
	t.Helper()
	m, ok := table.Member(name)
	if !ok {
		t.Fatalf("%s is unknown", name)
	}
	return m.State()
}

// Guards against a member that is declared dead after a short pause, and against one that is never declared dead.
func TestPausedMemberIsSuspectBeforeDead(t *testing.T) {
	table := member.NewTable(start, entry("self", 1, 0, 0))
	table.Merge(start, []member.Member{entry("b", 2, 0, 1)})
	for _, step := range []struct {
		after time.Duration
		want  member.State
	}{{1400 * time.Millisecond, member.Alive}, {1700 * time.Millisecond, member.Suspect}, {4900 * time.Millisecond, member.Suspect}, {5100 * time.Millisecond, member.Dead}} {
		table.Tick(start.Add(step.after), 100*time.Millisecond)
		if got := state(t, table, "b"); got != step.want {
			t.Errorf("after %v: %v, want %v", step.after, got, step.want)
		}
	}
	b := entry("b", 2, 0, 1)
	table.MergeHeartbeat(start.Add(6*time.Second), member.Heartbeat{Digest: b.Digest(), Sequence: 1})
	if got := state(t, table, "b"); got != member.Dead {
		t.Errorf("a repeated heartbeat made the member %v", got)
	}
	table.MergeHeartbeat(start.Add(6*time.Second), member.Heartbeat{Digest: b.Digest(), Sequence: 2})
	if got := state(t, table, "b"); got != member.Alive {
		t.Errorf("after a new heartbeat: %v", got)
	}
}

// Guards against a leaving member that becomes alive again through suspicion or an old record.
func TestLeavingIsNotRevoked(t *testing.T) {
	source := member.NewTable(start, entry("b", 2, 0, 1))
	source.AnnounceShutdown(start, []string{"c"})
	table := member.NewTable(start, entry("self", 1, 0, 0))
	table.Merge(start, []member.Member{entry("b", 2, 0, 1), source.Self(), entry("b", 2, 0, 1)})
	table.Tick(start.Add(6*time.Second), 0)
	source.AdvanceHeartbeat(start, 0)
	table.MergeHeartbeat(start.Add(7*time.Second), member.Heartbeat{Digest: source.Self().Digest(), Sequence: source.Self().Sequence()})
	if got := state(t, table, "b"); got != member.Leaving {
		t.Errorf("state = %v, want leaving", got)
	}
	if got := table.Successors([16]byte{2}); len(got) != 1 || got[0] != "c" {
		t.Errorf("successors = %v", got)
	}
	table.Tick(start.Add(2*time.Hour), 0)
	if got := table.Successors([16]byte{2}); len(got) != 0 {
		t.Errorf("successors after the retention = %v", got)
	}
}

// Guards against a new process that loses to the one it replaces because its random incarnation compares lower.
func TestNewIncarnationOutranksOldOne(t *testing.T) {
	table := member.NewTable(start, entry("b", 1, 0, 1))
	table.Merge(start, []member.Member{entry("b", 9, 4, 700)})
	peer := member.NewTable(start, entry("self", 3, 0, 0))
	peer.Merge(start, []member.Member{entry("b", 9, 4, 700), table.Self()})
	if !peer.IsCurrent("b", [16]byte{1}) {
		t.Error("the peer still considers the old incarnation current")
	}
}

// Guards against a paused process that resumes and reclaims its name from its replacement, and against a running process
// that is superseded by the stale record of a stopped one.
func TestResumedOldIncarnationIsSuperseded(t *testing.T) {
	old := member.NewTable(start, entry("b", 9, 0, 700))
	old.Confirm()
	old.Merge(start, []member.Member{entry("b", 1, 1, 5)})
	if old.IncarnationState() != member.Contested {
		t.Fatalf("incarnation state = %v, want contested", old.IncarnationState())
	}
	old.Merge(start, []member.Member{entry("b", 1, 1, 6)})
	old.Tick(start.Add(time.Minute), 0)
	old.Confirm()
	if old.IncarnationState() != member.Superseded {
		t.Errorf("incarnation state = %v, want superseded", old.IncarnationState())
	}
	running := member.NewTable(start, entry("b", 1, 0, 5))
	running.Confirm()
	running.Merge(start, []member.Member{entry("b", 9, 0, 700)})
	running.Tick(start.Add(6*time.Second), 0)
	if running.IncarnationState() == member.Superseded || running.Self().Epoch() != 1 {
		t.Errorf("incarnation state = %v, epoch = %d", running.IncarnationState(), running.Self().Epoch())
	}
}

// Guards against a version floor that falls when an entry is replaced by one with an older configuration.
func TestVersionFloorNeverFalls(t *testing.T) {
	table := member.NewTable(start, entry("self", 1, 0, 0))
	f := entry("b", 2, 0, 1).Fields()
	f.Version = 41
	table.Merge(start, []member.Member{member.New(f), entry("b", 3, 1, 1)})
	if got := table.VersionFloor("b"); got != 41 {
		t.Errorf("floor = %d, want 41", got)
	}
}

// Guards against a number of watchers other than three after members are lost.
func TestWatchersAreThreeLiveMembers(t *testing.T) {
	var all []member.Member
	for i := range 12 {
		f := entry(string(rune('a'+i)), byte(i), 0, 1).Fields()
		if i%2 == 0 {
			f.State = member.Dead
		}
		all = append(all, member.New(f))
	}
	if got := member.Watchers(all, 3); len(got) != 3 {
		t.Errorf("watchers = %v", got)
	}
}

// Guards against members that are declared dead without asking peers for their heartbeats first, and against asking for
// members that have stopped or were updated recently.
func TestLongestSilentReturnsOldestFirst(t *testing.T) {
	gone := member.New(member.Fields{Name: "gone", Incarnation: [16]byte{4}, Sequence: 1, State: member.Leaving})
	first, second := entry("first", 1, 0, 1), entry("second", 2, 0, 1)
	table := member.NewTable(start, entry("self", 5, 0, 0))
	table.Merge(start, []member.Member{first, gone})
	table.Merge(start.Add(time.Second), []member.Member{second})
	table.Merge(start.Add(2*time.Second), []member.Member{entry("third", 3, 0, 1)})
	now := start.Add(3 * time.Second)
	want := []uint32{first.Digest(), second.Digest()}
	if got := table.LongestSilent(now, time.Second, 5); !slices.Equal(got, want) {
		t.Errorf("digests %v, want %v", got, want)
	}
	if got := table.LongestSilent(now, time.Second, 1); !slices.Equal(got, want[:1]) {
		t.Errorf("digests %v, want %v", got, want[:1])
	}
}

// Guards against entries that choose different watchers because one ranks its table and another a list of members.
func TestWatchersOfTableAndListAgree(t *testing.T) {
	table := member.NewTable(start, entry("self", 1, 0, 1))
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		table.Merge(start, []member.Member{entry(name, 1, 0, 1)})
		all := table.Watchers(100)
		if got := table.Watchers(3); !slices.Equal(got, all[:min(3, len(all))]) || !slices.Equal(got, member.Watchers(table.Members(), 3)) {
			t.Errorf("%v of the table, %v of the list, ranks %v", got, member.Watchers(table.Members(), 3), all)
		}
	}
}
