package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultLongest is the default of Settings.Longest.
	defaultLongest  = 10 * time.Second
	histogramDigits = 3
)

// ErrNoSample means that no latency was measured for a number of callers.
var ErrNoSample = errors.New("forward: no latency was measured")

// Run measures the request path and returns the report. It returns an error if ctx ends early,
// and ErrNoSample if a number of callers yields no latency.
func Run(ctx context.Context, s Settings) (Report, error) {
	s, err := s.check()
	if err != nil {
		return Report{}, err
	}
	r, err := newTestbed(s)
	if err != nil {
		return Report{}, err
	}
	report, err := measure(ctx, r, s)
	return report, errors.Join(err, r.close())
}

func measure(ctx context.Context, r *testbed, s Settings) (Report, error) {
	var report Report
	for _, n := range s.Callers {
		l, errs, err := measureLevel(ctx, r, s, n)
		if err != nil {
			return report, err
		}
		report.Levels = append(report.Levels, l)
		report.Errors += errs
	}
	if err := measureWork(ctx, r, s, &report); err != nil {
		return report, err
	}
	var err error
	if report.Idle, err = measureIdle(ctx, r, s.Idle); err != nil {
		return report, err
	}
	report.Uploads, err = measureUploads(ctx, r, s.Uploads)
	return report, err
}

func (s Settings) newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, s.Longest.Nanoseconds(), histogramDigits)
}

// pair is a caller with one connection to a target (direct) and one to the entry (through).
type pair struct {
	direct, through           *caller
	random                    *rand.Rand
	directTimes, throughTimes *hdrhistogram.Histogram
	calls, errors             int64
	err                       error
}

func dialPairs(ctx context.Context, r *testbed, s Settings, n int) ([]*pair, error) {
	all := make([]*pair, n)
	for i := range all {
		d, err := dial(ctx, r.targets[i%targetCount].Address().String(), directRequest)
		if err != nil {
			return all[:i], err
		}
		t, err := dial(ctx, r.entryAddress, entryRequest)
		if err != nil {
			d.close()
			return all[:i], err
		}
		all[i] = &pair{
			direct: d, through: t, random: rand.New(rand.NewPCG(s.Seed, uint64(i))),
			directTimes: s.newHistogram(), throughTimes: s.newHistogram(),
		}
	}
	return all, nil
}

func closeAll(all []*pair) {
	for _, p := range all {
		p.direct.close()
		p.through.close()
	}
}

// runPairs runs f for all pairs concurrently with an end time after the given length, and returns the calls per second.
func runPairs(all []*pair, length time.Duration, f func(p *pair, end time.Time) error) (float64, error) {
	var w sync.WaitGroup
	start := time.Now()
	for _, p := range all {
		p.calls = 0
		w.Go(func() { p.err = f(p, start.Add(length)) })
	}
	w.Wait()
	took := time.Since(start).Seconds()
	calls, errs := int64(0), []error(nil)
	for _, p := range all {
		calls += p.calls
		errs = append(errs, p.err)
	}
	return float64(calls) / took, errors.Join(errs...)
}

// closedLoop returns a load loop that sends the next call as soon as the previous one is answered, and at least one.
func closedLoop(c func(p *pair) *caller) func(p *pair, end time.Time) error {
	return func(p *pair, end time.Time) error {
		for {
			if _, err := c(p).call(); err != nil {
				return err
			}
			p.calls++
			if !time.Now().Before(end) {
				return nil
			}
		}
	}
}

func entryCaller(p *pair) *caller  { return p.through }
func directCaller(p *pair) *caller { return p.direct }

// measureLevel measures the latencies at half of the load that n callers make at full speed.
func measureLevel(ctx context.Context, r *testbed, s Settings, n int) (Level, int64, error) {
	all, err := dialPairs(ctx, r, s, n)
	defer func() { closeAll(all) }()
	if err != nil {
		return Level{}, 0, err
	}
	full, err := runPairs(all, s.Length/2, closedLoop(entryCaller))
	if err != nil {
		return Level{}, 0, err
	}
	fullDirect, err := runPairs(all, s.Length/2, closedLoop(directCaller))
	if err != nil {
		return Level{}, 0, err
	}
	// Per period, a pair makes a direct call and one through the entry. At full
	// speed the two take half of the period.
	period := time.Duration(2 * float64(n) * (1/full + 1/fullDirect) * float64(time.Second))
	rate, err := runPairs(all, s.Length, pacedLoop(ctx, period, s.Length))
	if err != nil {
		return Level{}, 0, err
	}
	d, t := s.newHistogram(), s.newHistogram()
	errs := int64(0)
	for _, p := range all {
		d.Merge(p.directTimes)
		t.Merge(p.throughTimes)
		errs += p.errors
	}
	if d.TotalCount() == 0 || t.TotalCount() == 0 {
		return Level{}, errs, fmt.Errorf("%w: %d callers, %v", ErrNoSample, n, s.Length)
	}
	l := Level{Callers: n, Full: full, Rate: rate / 2, Direct: quantiles(d), Through: quantiles(t)}
	l.Added = l.Through.minus(l.Direct)
	return l, errs, nil
}

// pacedLoop returns a load loop with exponentially distributed intervals of the given mean between calls, so that callers do
// not synchronize. The first call starts within the length, so that a slow machine measures at least one.
func pacedLoop(ctx context.Context, period, length time.Duration) func(p *pair, end time.Time) error {
	return func(p *pair, end time.Time) error {
		next := end.Add(-length).Add(time.Duration(p.random.Float64() * float64(min(period, length))))
		for ctx.Err() == nil && next.Before(end) {
			time.Sleep(time.Until(next))
			for _, k := range []struct {
				c *caller
				h *hdrhistogram.Histogram
			}{{p.direct, p.directTimes}, {p.through, p.throughTimes}} {
				took, err := k.c.call()
				if err != nil {
					return err
				}
				if err := k.h.RecordValue(took.Nanoseconds()); err != nil {
					p.errors++
				}
				p.calls++
			}
			next = next.Add(time.Duration(p.random.ExpFloat64() * float64(period)))
		}
		return ctx.Err()
	}
}
