package policy

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Settings select the deployments, scenarios and policies to measure.
type Settings struct {
	Deployment string // Deployment is letters, cartridge or all.
	Scenario   string // Scenario is the name of a scenario or all.
	Seed       uint64
	Policies   []string // Policies are the names of the policies to run; empty means all. The checks need owner and oracle.
}

// Figures are the results of one policy in one scenario.
type Figures struct {
	Deployment            string         `json:"deployment"`
	Scenario              string         `json:"scenario"`
	Policy                string         `json:"policy"`
	Offered               int            `json:"offered"`
	Goodput               float64        `json:"goodput"`  // requests per second answered in time
	AnsweredFraction      float64        `json:"complete"` // fraction of the offered requests answered in time
	P50                   float64        `json:"p50"`      // milliseconds
	P99                   float64        `json:"p99"`      // milliseconds
	ReadsP99              float64        `json:"reads"`    // p99 of reads in milliseconds
	SettledReadsP99       float64        `json:"settled"`  // p99 of reads after the loss of a region has settled
	NotRun                int            `json:"refused"`  // answered not-run
	Unknown               int            `json:"unknown"`  // answered may-have-run, or lost with the entry
	Shed                  int            `json:"shed"`
	CallerRetries         int            `json:"repeated"` // refused requests that callers sent again
	ExcessSlotSeconds     float64        `json:"excess"`   // slot-seconds over the targets' slots
	PeakLinkUse           float64        `json:"link"`     // highest rate of a link as a fraction of its limit
	PeakRegionUse         float64        `json:"region"`   // most requests in flight in a region as a fraction of its limit
	PeakShiftUse          float64        `json:"shift"`    // fastest shift as a fraction of its cap
	TicksOver             int            `json:"over"`     // ticks over any limit
	TicksOverLink         int            `json:"overlink"`
	TicksOverRegion       int            `json:"overregion"`
	TicksOverShift        int            `json:"overshift"`
	LastDrainRequest      float64        `json:"last"`  // seconds until no request reached a draining target
	DrainedAfter          float64        `json:"quiet"` // seconds until the draining targets were idle
	Headroom              float64        `json:"head"`  // mean free fraction of the usable slots
	AnsweredAfterOverload float64        `json:"after"` // fraction answered in time and without a caller's retry, of the requests from 10 s after an overload
	AnsweredAfterRetries  float64        `json:"later"` // the same fraction, of the requests from 30 s after an overload
	ChoiceTime            time.Duration  `json:"choice"`
	TickTime              time.Duration  `json:"tick"`
	RefusalReasons        map[string]int `json:"reasons"`
	EventCounts           map[int]int    `json:"events,omitempty"`
}

// Names of the policies that the checks compare.
const (
	nameProduct = "owner" // productPolicy
	nameOracle  = "oracle"
)

func policies() map[string]func() policy {
	return map[string]func() policy{
		nameProduct:  func() policy { return newProductPolicy() },
		"unlent":     func() policy { return &productPolicy{eventCounts: make(map[int]int), noLoans: true} },
		"unbudgeted": func() policy { return &productPolicy{eventCounts: make(map[int]int), unlimitedRetries: true} },
		"least":      func() policy { return &baseline{pick: leastLoaded, crossRegion: true} },
		"robin":      func() policy { return &baseline{pick: roundRobin} },
		"two":        func() policy { return &baseline{pick: twoChoices} },
		"fixed":      func() policy { return &baseline{pick: fixedShare} },
		"lent":       func() policy { return newSlotLending() },
		nameOracle:   func() policy { return newOracle() },
	}
}

var policyOrder = []string{nameProduct, "unlent", "unbudgeted", "least", "robin", "two", "fixed", "lent", nameOracle}

// maxParallel is the number of scenarios that run concurrently.
const maxParallel = 4

// Run measures the selected scenarios; all policies get the same arrivals.
func Run(ctx context.Context, s Settings) (Report, error) {
	var jobs []func() []Figures
	for _, d := range deployments() {
		for _, sc := range scenarios() {
			if matches(s.Deployment, d.name) && matches(s.Scenario, sc.name) {
				jobs = append(jobs, func() []Figures { return runScenario(&d, &sc, s) })
			}
		}
	}
	if len(jobs) == 0 {
		return Report{}, fmt.Errorf("policy: no deployment %q with scenario %q", s.Deployment, s.Scenario)
	}
	results := make([][]Figures, len(jobs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallel)
	for i, job := range jobs {
		g.Go(func() error {
			if ctx.Err() == nil {
				results[i] = job()
			}
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return Report{}, err
	}
	r := Report{Seed: s.Seed}
	for _, f := range results {
		r.Figures = append(r.Figures, f...)
		r.Checks = append(r.Checks, checkFigures(f)...)
	}
	return r, nil
}

func matches(wanted, name string) bool { return wanted == "all" || wanted == "" || wanted == name }

func runScenario(d *deployment, s *scenario, chosen Settings) []Figures {
	all := arrivals(d, s, chosen.Seed)
	var out []Figures
	for _, name := range policyOrder {
		if len(chosen.Policies) > 0 && !slices.Contains(chosen.Policies, name) {
			continue
		}
		p := policies()[name]()
		w := newWorld(d, s, p, chosen.Seed)
		w.run(all)
		f := w.summarize(name)
		if o, ok := p.(*productPolicy); ok {
			f.ChoiceTime, f.TickTime, f.EventCounts = median(o.timings.choices), median(o.timings.ticks), o.eventCounts
		}
		out = append(out, f)
	}
	return out
}

func (w *world) summarize(name string) Figures {
	f, m := w.figures, w.monitor
	ms := func(us int64) float64 { return float64(us) / 1000 }
	span := (w.scenario.length - unmeasuredTail - warmup).Seconds()
	return Figures{
		Deployment: w.deployment.name, Scenario: w.scenario.name, Policy: name, Offered: f.offered,
		Goodput: float64(f.answeredInTime) / span, AnsweredFraction: float64(f.answeredInTime) / float64(max(1, f.offered)),
		P50: ms(f.latency.ValueAtQuantile(50)), P99: ms(f.latency.ValueAtQuantile(99)),
		ReadsP99: ms(f.readLatency.ValueAtQuantile(99)), SettledReadsP99: ms(f.settledReadLatency.ValueAtQuantile(99)),
		NotRun: f.failures["not-run"], Unknown: f.failures["may-have-run"] + f.failures["lost"], Shed: f.shed, CallerRetries: f.callerRetries,
		ExcessSlotSeconds: m.excessSlotSeconds, PeakLinkUse: m.peakLinkUse, PeakRegionUse: m.peakRegionUse, PeakShiftUse: m.peakShiftUse,
		TicksOver: m.ticksOver, TicksOverLink: m.ticksOverLink, TicksOverRegion: m.ticksOverRegion, TicksOverShift: m.ticksOverShift,
		LastDrainRequest: m.lastDrainRequest.Seconds(), DrainedAfter: m.drainedAfter.Seconds(), Headroom: m.headroomSum / float64(max(1, m.ticks)),
		AnsweredAfterOverload: float64(f.afterOverload.good) / float64(max(1, f.afterOverload.offered)),
		AnsweredAfterRetries:  float64(f.afterRetries.good) / float64(max(1, f.afterRetries.offered)),
		RefusalReasons:        f.refusals,
	}
}
