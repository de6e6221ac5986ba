package orders

import (
	"math/rand/v2"
	"time"

	"tamarackspool/internal/request/verdict"
)

// Figures are the results of one phase of one way.
type Figures struct {
	Way     string  `json:"way"`
	Phase   string  `json:"phase"`
	Offered int     `json:"offered"` // orders per second
	Reached float64 `json:"reached"` // orders per second that ran
	P50     float64 `json:"p50"`     // added time in milliseconds
	P99     float64 `json:"p99"`     // added time in milliseconds
	Writes  float64 `json:"writes"`  // writes per second that the store served
	Each    float64 `json:"each"`    // writes for each order that ran
	Limited uint64  `json:"limited"` // calls that the store refused over its limit
	NotRun  int     `json:"refused"` // orders that ended as not-run
	Unknown int     `json:"unknown"` // orders that ended as may-have-run
}

// Measure runs the ways one after the other with the same phases.
func Measure(s Settings) []Figures {
	var all []Figures
	for _, way := range ways() {
		all = append(all, measureWay(way, s)...)
	}
	return all
}

func measureWay(way string, s Settings) []Figures {
	g := newGroup(way, s)
	defer g.server.Close()
	draw := rand.New(rand.NewPCG(s.Seed, 1))
	calm := s.Rates[0]
	// The first claims take the ranges over, which no later phase repeats.
	g.offer(calm, s.Phase/2, draw, g.once)
	var all []Figures
	for _, rate := range s.Rates {
		all = append(all, g.phase("steady", rate, s.Phase, draw, g.once))
	}
	g.server.SetDown(true)
	all = append(all, g.phase("outage", calm, s.Outage, draw, g.once))
	g.server.SetDown(false)
	all = append(all, g.phase("after", calm, s.After, draw, g.once))
	all = append(all, g.killed("killed", s, draw, len(g.parties)-1))
	if way == wayTicket || way == wayRepeat {
		g.held = heldTicket
		all = append(all, g.killed("killed, held", s, draw, len(g.parties)-2))
	}
	return all
}

func (g *group) phase(name string, rate int, length time.Duration, draw *rand.Rand, one func(*party, string) verdict.Verdict) Figures {
	before := g.server.Counts()
	t := g.offer(rate, length, draw, one)
	after := g.server.Counts()
	ran, writes := float64(t.verdict[verdict.Ran]), float64(after.Writes-before.Writes)
	f := Figures{
		Way: g.way, Phase: name, Offered: rate, Reached: ran / length.Seconds(),
		P50: float64(t.added.ValueAtQuantile(50)) / 1000, P99: float64(t.added.ValueAtQuantile(99)) / 1000,
		Writes: writes / length.Seconds(), Limited: after.Limited - before.Limited,
		NotRun: t.verdict[verdict.NotRun], Unknown: t.verdict[verdict.MayHaveRun],
	}
	if ran > 0 {
		f.Each = writes / ran
	}
	return f
}

// killed measures a phase in whose middle an entry dies. The others learn of it
// after a while; callers repeat orders without an outcome through other entries.
func (g *group) killed(name string, s Settings, draw *rand.Rand, victim int) Figures {
	v := g.parties[victim]
	die := time.AfterFunc(s.After/2, func() { v.dead.Store(true) })
	known := time.AfterFunc(s.After/2+s.Dead, func() { v.lost.Store(true) })
	defer die.Stop()
	defer known.Stop()
	return g.phase(name, s.Rates[0], s.After, draw, g.insist)
}
