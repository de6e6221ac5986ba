package orders

import (
	"math/rand/v2"
	"time"

	"tamarackspool/internal/request/verdict"
)

// Figures are the results of one phase of one method.
type Figures struct {
	Method           string  `json:"way"`
	Phase            string  `json:"phase"`
	OfferedPerSecond int     `json:"offered"` // orders per second
	RunPerSecond     float64 `json:"reached"` // orders per second that ran
	P50              float64 `json:"p50"`     // added time in milliseconds
	P99              float64 `json:"p99"`     // added time in milliseconds
	WritesPerSecond  float64 `json:"writes"`  // writes per second that the store served
	WritesPerOrder   float64 `json:"each"`    // writes for each order that ran
	RateLimited      uint64  `json:"limited"` // calls that the store refused over its limit
	NotRun           int     `json:"refused"` // orders that ended as not-run
	Unknown          int     `json:"unknown"` // orders that ended as may-have-run
}

// Measure measures the methods one after the other with the same phases.
func Measure(s Settings) []Figures {
	var all []Figures
	for _, method := range methods() {
		all = append(all, measureMethod(method, s)...)
	}
	return all
}

func measureMethod(method string, s Settings) []Figures {
	g := newGroup(method, s)
	defer g.server.Close()
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	baseRate := s.OrderRates[0]
	// The first claims acquire the key ranges; the load before the first phase keeps that out of the figures.
	g.offerLoad(baseRate, s.Phase/2, rng, g.sendOnce)
	var all []Figures
	for _, rate := range s.OrderRates {
		all = append(all, g.measurePhase("steady", rate, s.Phase, rng, g.sendOnce))
	}
	g.server.SetDown(true)
	all = append(all, g.measurePhase("outage", baseRate, s.Outage, rng, g.sendOnce))
	g.server.SetDown(false)
	all = append(all, g.measurePhase("after", baseRate, s.PhaseAfterOutage, rng, g.sendOnce))
	all = append(all, g.measureKill("killed", s, rng, len(g.entries)-1))
	if method == methodTicket || method == methodAnyEntry {
		g.ticketHold = ticketHoldTime
		all = append(all, g.measureKill("killed, held", s, rng, len(g.entries)-2))
	}
	return all
}

func (g *group) measurePhase(name string, rate int, length time.Duration, rng *rand.Rand, send func(*groupEntry, string) verdict.Verdict) Figures {
	before := g.server.Counts()
	t := g.offerLoad(rate, length, rng, send)
	after := g.server.Counts()
	ran, writes := float64(t.verdicts[verdict.Ran]), float64(after.Writes-before.Writes)
	f := Figures{
		Method: g.method, Phase: name, OfferedPerSecond: rate, RunPerSecond: ran / length.Seconds(),
		P50: float64(t.addedTime.ValueAtQuantile(50)) / 1000, P99: float64(t.addedTime.ValueAtQuantile(99)) / 1000,
		WritesPerSecond: writes / length.Seconds(), RateLimited: after.Limited - before.Limited,
		NotRun: t.verdicts[verdict.NotRun], Unknown: t.verdicts[verdict.MayHaveRun],
	}
	if ran > 0 {
		f.WritesPerOrder = writes / ran
	}
	return f
}

// measureKill measures a phase in whose middle an entry is killed. The others consider it
// dead after s.DeathDetection; callers retry orders that have not run through other entries.
func (g *group) measureKill(name string, s Settings, rng *rand.Rand, index int) Figures {
	victim := g.entries[index]
	kill := time.AfterFunc(s.PhaseAfterOutage/2, func() { victim.killed.Store(true) })
	reportDead := time.AfterFunc(s.PhaseAfterOutage/2+s.DeathDetection, func() { victim.reportedDead.Store(true) })
	defer kill.Stop()
	defer reportDead.Stop()
	return g.measurePhase(name, s.OrderRates[0], s.PhaseAfterOutage, rng, g.sendUntilRan)
}
