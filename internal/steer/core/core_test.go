package core_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

var start = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// fields returns a configuration of two regions with four entries each.
func fields(targets, slots int) document.Fields {
	f := document.Fields{
		Version:  1,
		Services: []document.Service{document.NewService(document.ServiceFields{Name: "status", MaxShiftRate: 8})},
		Links:    []document.Link{document.NewLink("ege", "marmara", 8e6)},
	}
	for _, r := range []string{"ege", "marmara"} {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r, KeepFraction: 0.5}))
		for _, z := range []string{"a", "b"} {
			f.Zones = append(f.Zones, document.NewZone(r+"-"+z, r))
			for i := range 2 {
				f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: fmt.Sprintf("%s-%s-%d", r, z, i), Zone: r + "-" + z}))
			}
		}
		for i := range targets {
			f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
				Name: fmt.Sprintf("%s-t%d", r, i), Service: "status", Zone: r + "-" + string(rune('a'+i%2)), Slots: slots,
			}))
		}
	}
	return f
}

func allAlive(f document.Fields) []table.Member {
	var all []table.Member
	for _, e := range f.Entries {
		all = append(all, table.Member{Name: e.Name(), State: table.Alive})
	}
	return all
}

func newCore() *core.Core {
	return core.New(core.Settings{Entry: "ege-a-0", Region: "ege", Zone: "ege-a"})
}

// run steps the core over the duration and returns the last snapshot.
func run(c *core.Core, from time.Time, d time.Duration, in *table.Input) *decision.Snapshot {
	var s *decision.Snapshot
	for at := time.Duration(0); at <= d; at += 100 * time.Millisecond {
		s = c.Step(from.Add(at), in)
	}
	return s
}

// Guards against a new owner's gate that opens before the hold ends, and a draining target that still gets requests.
func TestHoldAndDrain(t *testing.T) {
	f := fields(8, 4)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	if s := run(c, start, 1900*time.Millisecond, in); s.Capacities()[0].Slots != 0 {
		t.Errorf("slots during the hold = %d, want 0", s.Capacities()[0].Slots)
	}
	s := run(c, start.Add(2*time.Second), time.Second, in)
	if len(s.Owned()) == 0 || s.Capacities()[0].Slots == 0 {
		t.Fatalf("owned %d targets with %d slots after the hold", len(s.Owned()), s.Capacities()[0].Slots)
	}
	for _, o := range s.Owned() {
		in.Leaving = append(in.Leaving, o.Name())
	}
	s = c.Step(start.Add(3100*time.Millisecond), in)
	if s.Capacities()[0].Slots != 0 {
		t.Errorf("slots of leaving targets = %d, want 0 in the next tick", s.Capacities()[0].Slots)
	}
	for _, st := range s.Status().Targets {
		if !st.Drained {
			t.Errorf("%s: draining without requests in flight, but not drained", st.Name)
		}
	}
}

// Guards against a target with two owners or without an owner.
func TestOneOwner(t *testing.T) {
	f := fields(16, 3)
	owners := map[string]int{}
	for _, e := range f.Entries {
		zone := e.Zone()
		region := document.New(f).RegionOf(zone)
		c := core.New(core.Settings{Entry: e.Name(), Region: region, Zone: zone})
		for _, o := range c.Step(start, &table.Input{Document: document.New(f), Members: allAlive(f)}).Owned() {
			owners[o.Name()]++
		}
	}
	for _, target := range f.Targets {
		if owners[target.Name()] != 1 {
			t.Errorf("%s has %d owners", target.Name(), owners[target.Name()])
		}
	}
}

// Guards against decisions from an outdated snapshot after a pause of the process.
func TestStaleSnapshot(t *testing.T) {
	f := fields(8, 4)
	s := run(newCore(), start, 5*time.Second, &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true})
	_, err := s.Choose(decision.Request{Service: "status", Now: start.Add(7 * time.Second)}, 1)
	if verdict.Of(err) != verdict.NotRun {
		t.Errorf("Choose on an old snapshot = %v, want not-run", err)
	}
}

// Guards against traffic from another region that grows faster than this entry's share of the cap.
func TestShiftCap(t *testing.T) {
	f := fields(40, 40)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	at := start
	var served []int
	for range 200 {
		s := c.Step(at, in)
		n := 0
		for draw := range uint64(50) {
			ch, err := s.Choose(decision.Request{Service: "status", Home: "marmara", Now: at, Relayed: true}, draw)
			if err == nil {
				n++
				ch.Release(decision.Result{Kind: decision.Answered, Latency: time.Millisecond})
			}
		}
		served = append(served, n)
		at = at.Add(100 * time.Millisecond)
	}
	second := func(end int) (n int) {
		for _, v := range served[end-10 : end] {
			n += v
		}
		return n
	}
	highest := 0
	for end := 20; end <= len(served); end++ {
		highest = max(highest, second(end-10))
		if got := second(end); got > highest+2 {
			t.Fatalf("tick %d: %d requests in a second after at most %d, share of the cap 2", end, got, highest)
		}
	}
	if last := second(len(served)); last < 8 {
		t.Errorf("served %d/s after 20 s of demand, want at least 8: the cap blocks the shift", last)
	}
}

// Guards against a panic or an exceeded limit with random tables and invalid input.
func TestLimitsUnderRandomInput(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(-2, 6).Draw(rt, "slots")
		f := fields(rapid.IntRange(0, 6).Draw(rt, "targets"), slots)
		limit := rapid.IntRange(-3, 12).Draw(rt, "limit")
		keep := rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 2, math.NaN(), math.Inf(1)}).Draw(rt, "keep")
		f.Regions[0] = document.NewRegion(document.RegionFields{Name: "ege", MaxInFlight: limit, KeepFraction: keep})
		f.Services[0] = document.NewService(document.ServiceFields{
			Name: "status", MaxShiftRate: rapid.SampledFrom([]float64{-1, 0, 3, math.NaN(), math.Inf(1)}).Draw(rt, "shift"),
			Priority: rapid.IntRange(-1, 9).Draw(rt, "priority"),
		})
		f.Drains = []document.Drain{document.NewDrain(document.DrainFields{Name: "d", Zone: "ege-a", Start: start.Add(3 * time.Second)})}
		doc := document.New(f)
		c, at := newCore(), start
		var held []decision.Choice
		for range rapid.IntRange(1, 60).Draw(rt, "ticks") {
			at = at.Add(time.Duration(rapid.IntRange(-50, 1500).Draw(rt, "step")) * time.Millisecond)
			s := c.Step(at, randomInput(rt, doc, f, at))
			held = traffic(rt, s, held, at)
			check(rt, s, held, slots, limit)
		}
	})
}

func randomInput(rt *rapid.T, doc *document.Document, f document.Fields, at time.Time) *table.Input {
	in := &table.Input{Document: doc, Members: allAlive(f), Confirmed: rapid.Bool().Draw(rt, "confirmed")}
	in.Members[1].State = table.State(rapid.IntRange(0, 3).Draw(rt, "state"))
	age := time.Duration(rapid.IntRange(-5000, 5000).Draw(rt, "age")) * time.Millisecond
	for _, target := range f.Targets {
		in.Reports = append(in.Reports, table.Report{
			Target: target.Name(), Busy: rapid.IntRange(-5, 100).Draw(rt, "busy"),
			Slots: rapid.IntRange(-5, 10).Draw(rt, "reported"), Leaving: rapid.Bool().Draw(rt, "leaving"), At: at.Add(-age),
		})
	}
	in.SlotCounts = []table.SlotCount{{Entry: "marmara-a-0", Service: "status", Free: rapid.IntRange(-3, 50).Draw(rt, "free"), At: at}}
	in.Loans = []table.Loan{{
		From: "ege-a-0", To: "marmara-a-0", A: "ege", B: "marmara",
		Rate: rapid.Int64Range(-1, 2e6).Draw(rt, "loan"), Until: at.Add(time.Second),
	}}
	return in
}

func traffic(rt *rapid.T, s *decision.Snapshot, held []decision.Choice, at time.Time) []decision.Choice {
	kind := decision.Kind(rapid.IntRange(0, 4).Draw(rt, "kind"))
	for i := range len(held) / 2 {
		held[i].Release(decision.Result{Kind: kind, Latency: time.Duration(rapid.Int64().Draw(rt, "latency"))})
	}
	held = held[len(held)/2:]
	for range 8 {
		ch, err := s.Choose(decision.Request{
			Service: "status", Home: rapid.SampledFrom([]string{"", "ege", "marmara", "nowhere"}).Draw(rt, "home"), Now: at,
		}, rapid.Uint64().Draw(rt, "draw"))
		if err == nil {
			held = append(held, ch)
		} else if verdict.Of(err) != verdict.NotRun {
			rt.Fatalf("refusal without the expected verdict: %v", err)
		}
	}
	return held
}

func check(rt *rapid.T, s *decision.Snapshot, held []decision.Choice, slots, limit int) {
	local := 0
	used := map[string]int{}
	for i := range held {
		if target, ok := held[i].Target(); ok {
			local++
			used[target.Name()]++
		}
	}
	for name, n := range used {
		if n > max(0, slots) {
			rt.Fatalf("%s has %d requests in %d slots", name, n, slots)
		}
	}
	if limit > 0 && local > (limit+3)/4 || limit < 0 && local > 0 {
		rt.Fatalf("%d requests in flight over the share of a region limit of %d", local, limit)
	}
	for _, st := range s.Status().Targets {
		if !(st.Load > 0) || math.IsInf(st.Load, 0) || st.Limit < 0 || st.Limit > max(0, slots) {
			rt.Fatalf("target %+v with %d slots", st, slots)
		}
	}
	for _, l := range s.Status().Links {
		if l.Rate < 0 || l.Rate > l.Share {
			rt.Fatalf("link rate %d over the share %d of a lender", l.Rate, l.Share)
		}
	}
}

// BenchmarkChoose measures one decision in a deployment of 8 entries and 56 targets.
func BenchmarkChoose(b *testing.B) {
	f := fields(28, 6)
	c := newCore()
	in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
	s := run(c, start, 10*time.Second, in)
	now := start.Add(10 * time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ch, err := s.Choose(decision.Request{Service: "status", Home: "ege", Now: now}, uint64(i)*0x9e3779b97f4a7c15)
		if err != nil {
			b.Fatal(err)
		}
		ch.Release(decision.Result{Kind: decision.Answered, Latency: time.Millisecond})
	}
}

// BenchmarkStep measures a tick at several deployment sizes; the time per tick should grow in proportion to the size.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ entries, sites int }{{12, 6}, {148, 19}, {296, 38}, {590, 75}} {
		b.Run(fmt.Sprintf("entries=%d/sites=%d", size.entries, size.sites), func(b *testing.B) {
			f := fleet(size.entries, size.sites)
			e := f.Entries[0]
			c := core.New(core.Settings{Entry: e.Name(), Region: document.New(f).RegionOf(e.Zone()), Zone: e.Zone()})
			in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
			for _, m := range in.Members {
				in.SlotCounts = append(in.SlotCounts, table.SlotCount{Entry: m.Name, Service: "s0", Free: 3, Slots: 6, At: start})
			}
			at := start
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(100 * time.Millisecond)
				c.Step(at, in)
			}
		})
	}
}

// fleet returns a configuration of four regions with three zones each, three services and seven targets per site and service.
func fleet(entries, sites int) document.Fields {
	f := document.Fields{Version: 1}
	var zones []string
	for r := range 4 {
		region := fmt.Sprintf("r%d", r)
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: region, KeepFraction: 0.5}))
		for z := range 3 {
			zones = append(zones, fmt.Sprintf("%s-z%d", region, z))
			f.Zones = append(f.Zones, document.NewZone(zones[len(zones)-1], region))
		}
		for o := range r {
			f.Links = append(f.Links, document.NewLink(region, fmt.Sprintf("r%d", o), 1e9))
		}
	}
	for k := range 3 {
		f.Services = append(f.Services, document.NewService(document.ServiceFields{Name: fmt.Sprintf("s%d", k), MaxShiftRate: 400}))
		for i := range sites * 7 {
			f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
				Name: fmt.Sprintf("s%d-%d", k, i), Service: fmt.Sprintf("s%d", k), Zone: zones[i/7%len(zones)], Slots: 6,
			}))
		}
	}
	for i := range entries {
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: fmt.Sprintf("e%03d", i), Zone: zones[i%len(zones)]}))
	}
	return f
}
