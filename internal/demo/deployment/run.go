package deployment

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"tamarackspool/internal/demo/promise"
	"tamarackspool/internal/standin/caller"
)

const (
	// readyTime bounds the start of all entries.
	readyTime = 15 * time.Second
	// warmTime lets new owners end their hold of 2 s and their first ramp.
	warmTime = 4 * time.Second
	// endTime bounds the wait for the last requests.
	endTime = 2 * tries * timeout
)

// Run runs the deployment and returns what happened. An error means that the
// demo itself failed; broken promises are in the summary.
func Run(ctx context.Context, s Settings) (Summary, error) {
	if err := s.Check(); err != nil {
		return Summary{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	w := newWorld(s, plans()[s.Deployment])
	defer func() {
		cancel()
		w.close()
	}()
	if err := w.build(ctx); err != nil {
		return Summary{}, err
	}
	if err := w.settle(ctx); err != nil {
		return Summary{}, err
	}
	return w.observe(ctx)
}

// settle waits until every entry serves.
func (w *world) settle(ctx context.Context) error {
	w.say("%s: %d targets, %d entries are starting", w.plan.name, len(w.targetVMs), len(w.all()))
	until := time.Now().Add(readyTime)
	for w.lowest() < 1 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(until) {
			return errors.New("deployment: not every entry has a configuration in time")
		}
		wait(ctx, 20*time.Millisecond)
	}
	wait(ctx, warmTime)
	return ctx.Err()
}

// observe runs the callers and the script and checks the promises.
func (w *world) observe(ctx context.Context) (Summary, error) {
	placedCallers := w.placedCallers()
	begin := time.Now()
	arrivals, stop := context.WithTimeout(ctx, w.settings.Duration)
	defer stop()
	watching, unwatch := context.WithCancel(ctx)
	seen := make(chan []string, 1)
	go func() { seen <- w.watch(watching) }()
	type played struct {
		notes notes
		err   error
	}
	script := make(chan played, 1)
	go func() {
		n, err := w.play(ctx, begin)
		script <- played{n, err}
	}()
	w.misbehave()
	w.say("callers send requests for %s", w.settings.Duration)
	ending, cut := context.WithTimeout(ctx, w.settings.Duration+endTime)
	defer cut()
	talk(ending, arrivals, placedCallers)
	p := <-script
	unwatch()
	reverted := <-seen
	if p.err != nil {
		return Summary{}, p.err
	}
	w.mu.Lock()
	failed := w.failed
	w.mu.Unlock()
	if failed != nil {
		return Summary{}, failed
	}
	return w.judge(placedCallers, p.notes, reverted), ctx.Err()
}

// close ends all parts; the run's context has ended.
func (w *world) close() {
	for _, s := range w.all() {
		s.kill()
	}
	w.wg.Wait()
	w.network.Close()
	w.client.CloseIdleConnections()
}

// judge compares all records.
func (w *world) judge(placedCallers []placedCaller, n notes, reverted []string) Summary {
	var records []caller.Record
	homes := make(map[string]string)
	maps.Copy(homes, n.intruders)
	for _, p := range placedCallers {
		for _, r := range p.caller.Records() {
			records = append(records, r)
			for _, t := range r.Tries {
				homes[t.ID] = p.home
			}
		}
	}
	var runs, stays []promise.Run
	for _, m := range w.targetVMs {
		runs = append(runs, m.Runs()...)
		stays = append(stays, m.Stays()...)
	}
	l := promise.New(records, runs)
	l.CheckRequests()
	l.CheckLeaving(n.drained, n.drainStart)
	l.CheckShift(homes, w.caps())
	l.CheckStop(n.stopped, n.stopStart, n.stopEnd, ttl)
	for _, text := range reverted {
		l.Breach(promise.Versions, "%s", text)
	}
	s := w.summary(records, runs, stays, n)
	w.usage(l, stays)
	s.Broken = l.Breaches()
	return s
}

// usage compares the peak use of the links and regions with their limits.
func (w *world) usage(l *promise.Ledger, stays []promise.Run) {
	for _, u := range slices.Concat(w.linkUse(), w.regionUse(stays)) {
		if u.Peak > u.Limit*usageSlack {
			l.Breach(promise.Link, "%s: peak %.0f %s above the limit of %.0f", u.Name, u.Peak, u.Unit, u.Limit)
		}
	}
}

// usageSlack allows for the bytes of gossip and headers, which are not charged to the link.
const usageSlack = 1.02

// misbehave sets the faults of the settings where targets carry them out.
func (w *world) misbehave() {
	for _, f := range w.settings.Faults {
		w.say("fault: %s", f)
		w.setFault(f)
	}
}
