package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// scenario is a script of load and faults; a fault lasts from from to to.
type scenario struct {
	name     string
	length   time.Duration
	from, to time.Duration
	load     float64 // part of all slots that the demand keeps busy
	factor   float64 // factor on the load during the fault; 0 means 1
	only     int     // work that factor applies to, counted from 1; 0 means all
	lost     bool    // the second region is away
	drain    bool    // a third of the targets leaves by plan
	cold     bool    // the second region's targets lose their caches
	silent   bool    // no report arrives
	lie      float64 // reports give this part of the busy slots
	lies     bool
	parted   bool // regions do not reach each other
	slow     bool // one target takes ten times as long
	repeats  int  // callers repeat a refused request up to this many times
	persist  bool // each repeat has the whole timeout again, else that of the first request
	crowded  bool // the first region has no targets of the last work and its callers of that work all use one entry
}

// warmup is the time before anything is measured.
const warmup = 10 * time.Second

func scenarios() []scenario {
	base := scenario{length: 60 * time.Second, from: 20 * time.Second, to: 40 * time.Second, load: 0.5}
	with := func(name string, change func(*scenario)) scenario {
		s := base
		s.name = name
		change(&s)
		return s
	}
	minute := func(s *scenario) {
		s.length, s.from, s.to = 90*time.Second, 15*time.Second, 75*time.Second
	}
	return []scenario{
		with("steady", func(*scenario) {}),
		with("peak", func(s *scenario) { s.load = 0.8 }),
		with("region-lost", func(s *scenario) { s.lost, s.to, s.length = true, 55*time.Second, 55*time.Second }),
		with("region-returns", func(s *scenario) { s.lost, s.length = true, 75*time.Second }),
		with("drain", func(s *scenario) { s.drain = true }),
		with("cold", func(s *scenario) { s.cold = true }),
		with("silent-60s", func(s *scenario) { minute(s); s.silent = true }),
		with("lies-zero", func(s *scenario) { s.lies = true }),
		with("lies-half", func(s *scenario) { s.lies, s.lie = true, 0.5 }),
		with("parted", func(s *scenario) { minute(s); s.parted = true }),
		with("double", func(s *scenario) { s.load, s.factor = 0.7, 2 }),
		with("burst", func(s *scenario) { s.load, s.factor, s.only = 0.4, 5, 1 }),
		with("repeats", func(s *scenario) { s.load, s.factor, s.repeats, s.length = 0.7, 2, 20, 90*time.Second }),
		with("persist", func(s *scenario) {
			s.load, s.factor, s.repeats, s.persist, s.length = 0.7, 2, 10, true, 90*time.Second
		}),
		with("slow", func(s *scenario) { s.slow = true }),
		with("two", func(s *scenario) { s.lost, s.slow, s.length = true, true, 75*time.Second }),
		with("crowded", func(s *scenario) { s.crowded, s.load, s.to, s.length = true, 0.5, 70*time.Second, 75*time.Second }),
	}
}

func (s *scenario) active(at time.Duration) bool { return at >= s.from && at < s.to }

// overloaded reports whether the scenario offers more than the slots can run.
func (s *scenario) overloaded() bool { return s.factor > 1 }

// arrival is one caller's request, the same for all policies.
type arrival struct {
	at     time.Duration
	home   int
	work   int
	entry  uint64        // draw for the entry that the caller uses
	demand time.Duration // time at a warm target
}

// arrivals draws the requests of a scenario: Poisson arrivals, exponential work.
func arrivals(d *deployment, s *scenario, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for wi, w := range d.works {
		for h, part := range d.demand {
			rate := s.load * part * float64(w.targets*w.slots) / w.mean.Seconds()
			all = append(all, stream(rng, s, wi, h, rate, w.mean)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func stream(rng *rand.Rand, s *scenario, wi, home int, rate float64, mean time.Duration) []arrival {
	var all []arrival
	for at := time.Duration(0); at < s.length; {
		now := rate
		if s.factor > 0 && s.active(at) && (s.only == 0 || s.only == wi+1) {
			now *= s.factor
		}
		at += time.Duration(rng.ExpFloat64() / now * float64(time.Second))
		all = append(all, arrival{
			at: at, home: home, work: wi, entry: rng.Uint64(),
			// The floor keeps a request from taking no time at all.
			demand: max(mean/10, time.Duration(rng.ExpFloat64()*float64(mean))),
		})
	}
	return all
}
