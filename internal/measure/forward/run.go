package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the upper end of the histograms in nanoseconds.
	longest = int64(10 * time.Second)
	digits  = 3
)

// Run measures and returns the report; ctx ends it early with an error.
func Run(ctx context.Context, s Settings) (Report, error) {
	s, err := s.check()
	if err != nil {
		return Report{}, err
	}
	r, err := newRig(s)
	if err != nil {
		return Report{}, err
	}
	report, err := measure(ctx, r, s)
	return report, errors.Join(err, r.close())
}

func measure(ctx context.Context, r *rig, s Settings) (Report, error) {
	var report Report
	for _, n := range s.Callers {
		l, errs, err := level(ctx, r, s, n)
		if err != nil {
			return report, err
		}
		report.Levels = append(report.Levels, l)
		report.Errors += errs
	}
	if err := work(ctx, r, s, &report); err != nil {
		return report, err
	}
	var err error
	if report.Idle, err = idle(ctx, r, s.Idle); err != nil {
		return report, err
	}
	report.Uploads, err = uploads(ctx, r, s.Uploads)
	return report, err
}

// pair is a caller with one connection to a target and one to the entry.
type pair struct {
	direct, through *caller
	random          *rand.Rand
	d, t            *hdrhistogram.Histogram
	calls, errors   int64
	failed          error
}

func pairs(ctx context.Context, r *rig, s Settings, n int) ([]*pair, error) {
	all := make([]*pair, n)
	for i := range all {
		d, err := dial(ctx, r.targets[i%targets].Address().String(), direct)
		if err != nil {
			return all[:i], err
		}
		t, err := dial(ctx, r.entry, through)
		if err != nil {
			d.close()
			return all[:i], err
		}
		all[i] = &pair{
			direct: d, through: t, random: rand.New(rand.NewPCG(s.Seed, uint64(i))),
			d: hdrhistogram.New(1, longest, digits), t: hdrhistogram.New(1, longest, digits),
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

// each runs f for every pair at once until the time is over, and returns the calls per second.
func each(all []*pair, length time.Duration, f func(p *pair, end time.Time) error) (float64, error) {
	var w sync.WaitGroup
	start := time.Now()
	for _, p := range all {
		p.calls = 0
		w.Go(func() { p.failed = f(p, start.Add(length)) })
	}
	w.Wait()
	took := time.Since(start).Seconds()
	calls, errs := int64(0), []error(nil)
	for _, p := range all {
		calls += p.calls
		errs = append(errs, p.failed)
	}
	return float64(calls) / took, errors.Join(errs...)
}

func busy(c func(p *pair) *caller) func(p *pair, end time.Time) error {
	return func(p *pair, end time.Time) error {
		for time.Now().Before(end) {
			if _, err := c(p).call(); err != nil {
				return err
			}
			p.calls++
		}
		return nil
	}
}

func viaEntry(p *pair) *caller  { return p.through }
func viaTarget(p *pair) *caller { return p.direct }

// level measures the times at half of the load that the callers make at full speed.
func level(ctx context.Context, r *rig, s Settings, n int) (Level, int64, error) {
	all, err := pairs(ctx, r, s, n)
	defer func() { closeAll(all) }()
	if err != nil {
		return Level{}, 0, err
	}
	full, err := each(all, s.Length/2, busy(viaEntry))
	if err != nil {
		return Level{}, 0, err
	}
	fullDirect, err := each(all, s.Length/2, busy(viaTarget))
	if err != nil {
		return Level{}, 0, err
	}
	// A pair makes a direct call and one through the entry per period; both
	// kinds together take half of the time that the callers have at full speed.
	period := time.Duration(2 * float64(n) * (1/full + 1/fullDirect) * float64(time.Second))
	rate, err := each(all, s.Length, paced(ctx, period))
	if err != nil {
		return Level{}, 0, err
	}
	d, t := hdrhistogram.New(1, longest, digits), hdrhistogram.New(1, longest, digits)
	errs := int64(0)
	for _, p := range all {
		d.Merge(p.d)
		t.Merge(p.t)
		errs += p.errors
	}
	l := Level{Callers: n, Full: full, Rate: rate / 2, Direct: quantiles(d), Through: quantiles(t)}
	l.Added = l.Through.minus(l.Direct)
	return l, errs, nil
}

// paced spreads calls over random pauses with the given mean, so that callers do not move in step.
func paced(ctx context.Context, period time.Duration) func(p *pair, end time.Time) error {
	return func(p *pair, end time.Time) error {
		next := time.Now().Add(time.Duration(p.random.Float64() * float64(period)))
		for ctx.Err() == nil && next.Before(end) {
			time.Sleep(time.Until(next))
			for _, k := range []struct {
				c *caller
				h *hdrhistogram.Histogram
			}{{p.direct, p.d}, {p.through, p.t}} {
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
