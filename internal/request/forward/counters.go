package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/steer/spend"
)

// retryWindow is the time over which the retries of all entries are compared with the requests.
const retryWindow = 10 * time.Second

// counters are the figures of one service.
type counters struct {
	requests, notRun, mayRun, retries, late, cut metrics.Counter
	retryBudget                                  *spend.Budget
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
		// A budget lets half of its ratio be repeated in steady use.
		retryBudget: spend.New(spend.Terms{Ratio: 2 * f.s.Retry, Window: retryWindow}),
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
