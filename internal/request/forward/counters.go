package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/steer/spend"
)

// retryBudgetWindow is the time over which the retries of all entries are compared with the requests.
const retryBudgetWindow = 10 * time.Second

// counters holds the metrics and the retry budget of one service.
type counters struct {
	requests, notRun, mayHaveRun, retries, late, cut metrics.Counter
	retryBudget                                      *spend.Budget
}

func (f *Forwarder) countersOf(service string) *counters {
	if c, ok := f.countersByService.Load(service); ok {
		return c.(*counters)
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("request."+service+"."+name, f.deps.Metrics)
	}
	c := &counters{
		requests: counter("requests"), notRun: counter("not-run"), mayHaveRun: counter("may-have-run"),
		retries: counter("retries"), late: counter("late"), cut: counter("cut"),
		// Under constant load, the budget allows half of its ratio, because each retry uses up 2/ratio requests.
		retryBudget: spend.NewBudget(spend.Limits{Ratio: 2 * f.settings.Retry, Window: retryBudgetWindow}),
	}
	v, _ := f.countersByService.LoadOrStore(service, c)
	return v.(*counters)
}

func (c *counters) countVerdict(v verdict.Verdict) {
	switch v {
	case verdict.NotRun:
		c.notRun.Inc(1)
	case verdict.MayHaveRun:
		c.mayHaveRun.Inc(1)
	}
}
