package forward

import (
	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/request/verdict"
)

// counters are the figures of one service.
type counters struct {
	requests, notRun, mayRun, retries, late, cut metrics.Counter
	budget                                       *budget
}

func (f *Forwarder) count(service string) *counters {
	if c, ok := f.services.Load(service); ok {
		return c.(*counters)
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("request."+service+"."+name, f.d.Metrics)
	}
	c := &counters{
		requests: counter("requests"), notRun: counter("not-run"), mayRun: counter("may-have-run"),
		retries: counter("retries"), late: counter("late"), cut: counter("cut"),
		budget: newBudget(f.s.Retry, f.s.Spare, f.d.Now()),
	}
	v, _ := f.services.LoadOrStore(service, c)
	return v.(*counters)
}

func (c *counters) told(v verdict.Verdict) {
	switch v {
	case verdict.NotRun:
		c.notRun.Inc(1)
	case verdict.MayHaveRun:
		c.mayRun.Inc(1)
	}
}
