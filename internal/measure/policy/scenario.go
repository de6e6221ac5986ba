package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// scenario is a schedule of load and one fault, which lasts from faultStart to faultEnd.
type scenario struct {
	name                 string
	length               time.Duration
	faultStart, faultEnd time.Duration
	utilization          float64 // fraction of all slots that the offered load keeps busy
	faultLoadFactor      float64 // factor on the utilization during the fault; 0 means 1
	faultWorkload        int     // workload that faultLoadFactor applies to, counted from 1; 0 means all
	regionLost           bool    // the second region is down
	plannedDrain         bool    // a third of the targets is drained
	cachesLost           bool    // the second region's targets lose their caches
	reportsLost          bool    // no target's report arrives
	reportedFraction     float64 // used when misreport is set; 0 reports every slot as free
	misreport            bool    // targets report only reportedFraction of their busy slots
	regionsPartitioned   bool    // no messages pass between regions
	slowTarget           bool    // one target takes 10 times as long
	maxCallerRetries     int     // limit on a caller's retries of a refused request
	newDeadlinePerRetry  bool    // each retry gets a new deadline, else it keeps that of the first request
	singleEntryLoad      bool    // the first region has no targets of the last workload, and during the fault its callers of that workload all use one entry
}

// warmup is the time at the start of a run that is not measured.
const warmup = 10 * time.Second

func scenarios() []scenario {
	base := scenario{length: 60 * time.Second, faultStart: 20 * time.Second, faultEnd: 40 * time.Second, utilization: 0.5}
	with := func(name string, change func(*scenario)) scenario {
		s := base
		s.name = name
		change(&s)
		return s
	}
	longFault := func(s *scenario) {
		s.length, s.faultStart, s.faultEnd = 90*time.Second, 15*time.Second, 75*time.Second
	}
	return []scenario{
		with("steady", func(*scenario) {}),
		with("peak", func(s *scenario) { s.utilization = 0.8 }),
		with("region-lost", func(s *scenario) { s.regionLost, s.faultEnd, s.length = true, 55*time.Second, 55*time.Second }),
		with("region-returns", func(s *scenario) { s.regionLost, s.length = true, 75*time.Second }),
		with("drain", func(s *scenario) { s.plannedDrain = true }),
		with("cold", func(s *scenario) { s.cachesLost = true }),
		with("silent-60s", func(s *scenario) { longFault(s); s.reportsLost = true }),
		with("lies-zero", func(s *scenario) { s.misreport = true }),
		with("lies-half", func(s *scenario) { s.misreport, s.reportedFraction = true, 0.5 }),
		with("parted", func(s *scenario) { longFault(s); s.regionsPartitioned = true }),
		with("double", func(s *scenario) { s.utilization, s.faultLoadFactor = 0.7, 2 }),
		with("burst", func(s *scenario) { s.utilization, s.faultLoadFactor, s.faultWorkload = 0.4, 5, 1 }),
		with("repeats", func(s *scenario) {
			s.utilization, s.faultLoadFactor, s.maxCallerRetries, s.length = 0.7, 2, 20, 90*time.Second
		}),
		with("persist", func(s *scenario) {
			s.utilization, s.faultLoadFactor, s.maxCallerRetries, s.newDeadlinePerRetry, s.length = 0.7, 2, 10, true, 90*time.Second
		}),
		with("slow", func(s *scenario) { s.slowTarget = true }),
		with("two", func(s *scenario) { s.regionLost, s.slowTarget, s.length = true, true, 75*time.Second }),
		with("crowded", func(s *scenario) {
			s.singleEntryLoad, s.utilization, s.faultEnd, s.length = true, 0.5, 70*time.Second, 75*time.Second
		}),
	}
}

func (s *scenario) faultActive(at time.Duration) bool { return at >= s.faultStart && at < s.faultEnd }

// overloaded reports whether the load rises during the fault.
func (s *scenario) overloaded() bool { return s.faultLoadFactor > 1 }

// arrival is one request of a caller; all policies get the same arrivals.
type arrival struct {
	at              time.Duration
	homeRegion      int
	workload        int
	entryDraw       uint64        // random number that selects the caller's entry
	warmServiceTime time.Duration // service time at a target with warm caches
}

// arrivals returns the requests of a scenario: Poisson arrivals with exponential service times.
func arrivals(d *deployment, s *scenario, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for wi, w := range d.workloads {
		for h, share := range d.callerShares {
			rate := s.utilization * share * float64(w.targetCount*w.slots) / w.meanServiceTime.Seconds()
			all = append(all, workloadArrivals(rng, s, wi, h, rate, w.meanServiceTime)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func workloadArrivals(rng *rand.Rand, s *scenario, wi, home int, rate float64, mean time.Duration) []arrival {
	var all []arrival
	for at := time.Duration(0); at < s.length; {
		currentRate := rate
		if s.faultLoadFactor > 0 && s.faultActive(at) && (s.faultWorkload == 0 || s.faultWorkload == wi+1) {
			currentRate *= s.faultLoadFactor
		}
		at += time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second))
		all = append(all, arrival{
			at: at, homeRegion: home, workload: wi, entryDraw: rng.Uint64(),
			// The lower bound keeps service times above zero.
			warmServiceTime: max(mean/10, time.Duration(rng.ExpFloat64()*float64(mean))),
		})
	}
	return all
}
