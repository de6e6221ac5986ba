package lookup_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/lookup"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/request/verdict"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settings = lookup.Settings{Entry: "entry-0", Zone: "r0-a", Region: "r0", Seed: 1}
)

// config returns three regions with four entries and 100 slots each and a shift cap of 10 requests/s per second.
func config() *document.Document {
	f := document.Fields{
		Version:  3,
		Services: []document.Service{document.NewService(document.ServiceFields{Name: "orders", MaxShiftRate: 10})},
	}
	for r := range 3 {
		region := fmt.Sprintf("r%d", r)
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: region}))
		f.Zones = append(f.Zones, document.NewZone(region+"-a", region))
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
			Name: "t" + region, Service: "orders", Zone: region + "-a", Slots: 100,
		}))
	}
	for i := range 12 {
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{
			Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("r%d-a", i%3), CallerAddress: address(i),
		}))
	}
	return document.New(f)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

// members returns twelve members in the states returned by the function.
func members(state func(i int) member.State) []member.Member {
	var all []member.Member
	for i := range 12 {
		all = append(all, member.New(member.Fields{
			Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("r%d-a", i%3), Region: fmt.Sprintf("r%d", i%3),
			CallAddr: address(i), State: state(i),
		}))
	}
	return all
}

func alive(int) member.State { return member.Alive }

// tally counts the first entries and the regions of n answers; refusals are counted under "".
func tally(t *testing.T, d *lookup.Directory, now time.Time, n int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for i := range n {
		a, err := d.Answer(lookup.Query{Service: "orders"}, now.Add(time.Duration(i)))
		if err != nil {
			if verdict.Of(err) != verdict.NotRun {
				t.Fatalf("answer: %v", err)
			}
			counts[""]++
			continue
		}
		if len(a.Entries()) < 2 || len(a.Entries()) > 4 {
			t.Fatalf("answer has %d entries", len(a.Entries()))
		}
		counts[a.Entries()[0].Name()]++
		counts[a.Region()]++
	}
	return counts
}

// Guards against answers with leaving, suspect or dead entries, and against cached answers that concentrate callers on
// one entry instead of following the free slots.
func TestAnswersFollowFreeSlotsOfLiveEntries(t *testing.T) {
	d := lookup.New(settings)
	freeSlots := []member.FreeSlots{member.NewFreeSlots("entry-0", "orders", 30, start), member.NewFreeSlots("entry-3", "orders", 10, start)}
	d.Update(start, lookup.Input{Document: config(), FreeSlots: freeSlots, Members: members(func(i int) member.State {
		return [...]member.State{member.Alive, member.Alive, member.Alive, member.Alive, member.Alive, member.Alive, member.Leaving, member.Alive, member.Alive, member.Suspect}[min(i, 9)]
	})})
	got := tally(t, d, start, 10000)
	if got["entry-6"]+got["entry-9"] > 0 {
		t.Errorf("an answer has a leaving or suspect entry: %v", got)
	}
	if got["entry-0"] < 7000 || got["entry-0"] > 8000 || got["entry-0"]+got["entry-3"] != 10000 {
		t.Errorf("first choices %v, want three quarters entry-0", got)
	}
}

// Guards against a failover to other regions, or a return, that is faster than the shift cap.
func TestRegionFailoverIsLimitedByShiftCap(t *testing.T) {
	d := lookup.New(settings)
	lost := func(i int) member.State { return map[bool]member.State{true: member.Dead}[i%3 == 0] }
	now := start
	run := func(seconds int, state func(int) member.State) {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			d.Update(now, lookup.Input{Document: config(), Members: members(state)})
		}
	}
	run(1, alive)
	if got := tally(t, d, now, 1000); got["r0"] != 1000 {
		t.Errorf("before the loss: %v", got)
	}
	// A cap of 10 requests/s per second moves a tenth of 100 requests/s each second to each of the two regions.
	run(2, lost)
	if got := tally(t, d, now, 10000); got["r1"] > 2200 || got["r2"] > 2200 || got[""] < 5700 {
		t.Errorf("2 s after the loss: %v", got)
	}
	run(8, lost)
	if got := tally(t, d, now, 1000); got[""] != 0 || got["r1"] == 0 || got["r2"] == 0 {
		t.Errorf("10 s after the loss: %v", got)
	}
	run(2, alive)
	if got := tally(t, d, now, 10000); got["r0"] > 4400 || got["r0"] < 3600 {
		t.Errorf("2 s after the return: %v", got)
	}
}

// Guards against an entry that cannot answer after its start because it knows no other member yet.
func TestStartingEntryAnswersFromConfiguration(t *testing.T) {
	d := lookup.New(settings)
	if _, err := d.Answer(lookup.Query{Service: "orders"}, start); verdict.Of(err) != verdict.NotRun {
		t.Errorf("without a configuration: %v", err)
	}
	d.Update(start, lookup.Input{Document: config(), Members: members(alive)[:1]})
	if got := tally(t, d, start, 100); got["r0"] != 100 {
		t.Errorf("answers = %v", got)
	}
}

// Measures lookups; the requirement is 100,000 decisions/s per core.
func BenchmarkAnswer(b *testing.B) {
	d := lookup.New(settings)
	d.Update(start, lookup.Input{Document: config(), Members: members(alive)})
	client := netip.MustParseAddr("192.0.2.9")
	b.RunParallel(func(pb *testing.PB) {
		for now := start; pb.Next(); now = now.Add(1) {
			if _, err := d.Answer(lookup.Query{Service: "orders", Client: client}, now); err != nil {
				b.Error(err)
			}
		}
	})
}
