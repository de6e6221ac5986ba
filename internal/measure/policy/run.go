package policy

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Settings choose what is measured.
type Settings struct {
	Deployment string // Deployment is letters, cartridge or all.
	Scenario   string // Scenario is the name of a scenario or all.
	Seed       uint64
	Policies   []string // Policies are those to run; empty means all. The targets need owner and oracle.
}

// Figures are the results of one policy in one scenario.
type Figures struct {
	Deployment string         `json:"deployment"`
	Scenario   string         `json:"scenario"`
	Policy     string         `json:"policy"`
	Offered    int            `json:"offered"`
	Goodput    float64        `json:"goodput"`  // requests per second answered in time
	Complete   float64        `json:"complete"` // part of the offered requests answered in time
	P50        float64        `json:"p50"`      // milliseconds
	P99        float64        `json:"p99"`      // milliseconds
	Reads      float64        `json:"reads"`    // p99 of reads in milliseconds
	Settled    float64        `json:"settled"`  // p99 of reads after a lost region has settled
	Refused    int            `json:"refused"`  // told not-run
	Unknown    int            `json:"unknown"`  // told may-have-run, or lost with the entry
	Shed       int            `json:"shed"`
	Repeated   int            `json:"repeated"` // refused requests that callers sent again
	Excess     float64        `json:"excess"`   // slot-seconds over the targets' slots
	Link       float64        `json:"link"`     // highest use of a link against its limit
	Region     float64        `json:"region"`   // highest use of a region against its limit
	Shift      float64        `json:"shift"`    // fastest shift against its cap
	Over       int            `json:"over"`     // ticks over any limit
	OverLink   int            `json:"overlink"`
	OverRegion int            `json:"overregion"`
	OverShift  int            `json:"overshift"`
	Last       float64        `json:"last"`  // seconds until no work reached a leaving target
	Quiet      float64        `json:"quiet"` // seconds until leaving targets were empty
	Head       float64        `json:"head"`  // mean free part of the usable slots
	After      float64        `json:"after"` // part answered from 10 s after an overload
	Later      float64        `json:"later"` // part answered at the first request from 30 s after an overload
	Choice     time.Duration  `json:"choice"`
	Tick       time.Duration  `json:"tick"`
	Reasons    map[string]int `json:"reasons"`
	Events     map[int]int    `json:"events,omitempty"`
}

// Names of the policies that the targets compare.
const (
	nameOurs   = "owner"
	nameOracle = "oracle"
)

func policies() map[string]func() policy {
	return map[string]func() policy{
		nameOurs:     func() policy { return newOurs() },
		"unlent":     func() policy { return &ours{events: make(map[int]int), alone: true} },
		"unbudgeted": func() policy { return &ours{events: make(map[int]int), freely: true} },
		"least":      func() policy { return &baseline{pick: least, spill: true} },
		"robin":      func() policy { return &baseline{pick: robin} },
		"two":        func() policy { return &baseline{pick: two} },
		"fixed":      func() policy { return &baseline{pick: fixed} },
		"lent":       func() policy { return newLent() },
		nameOracle:   func() policy { return newOracle() },
	}
}

var order = []string{nameOurs, "unlent", "unbudgeted", "least", "robin", "two", "fixed", "lent", nameOracle}

// workers bounds the scenarios that run at once.
const workers = 4

// Run measures the chosen scenarios with all policies and the same arrivals.
func Run(ctx context.Context, s Settings) (Report, error) {
	var jobs []func() []Figures
	for _, d := range deployments() {
		for _, sc := range scenarios() {
			if matches(s.Deployment, d.name) && matches(s.Scenario, sc.name) {
				jobs = append(jobs, func() []Figures { return play(&d, &sc, s) })
			}
		}
	}
	if len(jobs) == 0 {
		return Report{}, fmt.Errorf("policy: no deployment %q with scenario %q", s.Deployment, s.Scenario)
	}
	results := make([][]Figures, len(jobs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(workers)
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
		r.Checks = append(r.Checks, judge(f)...)
	}
	return r, nil
}

func matches(wanted, name string) bool { return wanted == "all" || wanted == "" || wanted == name }

func play(d *deployment, s *scenario, chosen Settings) []Figures {
	all := arrivals(d, s, chosen.Seed)
	var out []Figures
	for _, name := range order {
		if len(chosen.Policies) > 0 && !slices.Contains(chosen.Policies, name) {
			continue
		}
		p := policies()[name]()
		w := newWorld(d, s, p, chosen.Seed)
		w.run(all)
		f := w.result(name)
		if o, ok := p.(*ours); ok {
			f.Choice, f.Tick, f.Events = median(o.timings.choices), median(o.timings.ticks), o.events
		}
		out = append(out, f)
	}
	return out
}

func (w *world) result(name string) Figures {
	f, m := w.figures, w.monitor
	ms := func(us int64) float64 { return float64(us) / 1000 }
	span := (w.script.length - tail - warmup).Seconds()
	return Figures{
		Deployment: w.place.name, Scenario: w.script.name, Policy: name, Offered: f.offered,
		Goodput: float64(f.good) / span, Complete: float64(f.good) / float64(max(1, f.offered)),
		P50: ms(f.all.ValueAtQuantile(50)), P99: ms(f.all.ValueAtQuantile(99)),
		Reads: ms(f.reads.ValueAtQuantile(99)), Settled: ms(f.settled.ValueAtQuantile(99)),
		Refused: f.ends["not-run"], Unknown: f.ends["may-have-run"] + f.ends["lost"], Shed: f.shed, Repeated: f.repeated,
		Excess: m.Excess, Link: m.Link, Region: m.Region, Shift: m.Shift,
		Over: m.Over, OverLink: m.OverLink, OverRegion: m.OverRegion, OverShift: m.OverShift,
		Last: m.Last.Seconds(), Quiet: m.Quiet.Seconds(), Head: m.Head / float64(max(1, m.ticks)),
		After:   float64(f.after.good) / float64(max(1, f.after.offered)),
		Later:   float64(f.later.good) / float64(max(1, f.later.offered)),
		Reasons: f.refusals,
	}
}
