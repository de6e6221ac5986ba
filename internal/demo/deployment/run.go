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
	// startTimeout bounds the wait until all entries serve.
	startTimeout = 15 * time.Second
	// warmUpTime covers the hold time of 2 s in which a new owner of a target sends it
	// no requests, and the ramp of its limit after that.
	warmUpTime = 4 * time.Second
	// lastRequestsTimeout bounds the wait for the last requests.
	lastRequestsTimeout = 2 * maxAttempts * timeout
)

// Run runs the deployment and returns a summary. An error means that the
// demo itself failed; broken promises are in the summary.
func Run(ctx context.Context, s Settings) (Summary, error) {
	if err := s.Check(); err != nil {
		return Summary{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	cl := newCluster(s, plans()[s.Deployment])
	defer func() {
		cancel()
		cl.close()
	}()
	if err := cl.build(ctx); err != nil {
		return Summary{}, err
	}
	if err := cl.waitUntilReady(ctx); err != nil {
		return Summary{}, err
	}
	return cl.runTraffic(ctx)
}

// waitUntilReady waits until every entry serves and the owners have warmed up.
func (cl *cluster) waitUntilReady(ctx context.Context) error {
	cl.logProgress("%s: %d targets, %d entries are starting", cl.plan.name, len(cl.targetVMs), len(cl.allEntryVMs()))
	until := time.Now().Add(startTimeout)
	for cl.lowestVersion() < 1 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(until) {
			return errors.New("deployment: timed out before every entry had a configuration")
		}
		wait(ctx, 20*time.Millisecond)
	}
	wait(ctx, warmUpTime)
	return ctx.Err()
}

// runTraffic runs the callers and the script and checks the promises.
func (cl *cluster) runTraffic(ctx context.Context) (Summary, error) {
	placedCallers := cl.placedCallers()
	begin := time.Now()
	arrivals, stop := context.WithTimeout(ctx, cl.settings.Duration)
	defer stop()
	watching, stopWatch := context.WithCancel(ctx)
	reverts := make(chan []string, 1)
	go func() { reverts <- cl.watchVersions(watching) }()
	type outcome struct {
		result scriptResult
		err    error
	}
	script := make(chan outcome, 1)
	go func() {
		result, err := cl.runScript(ctx, begin)
		script <- outcome{result, err}
	}()
	cl.setFaults()
	cl.logProgress("callers send requests for %s", cl.settings.Duration)
	requests, abort := context.WithTimeout(ctx, cl.settings.Duration+lastRequestsTimeout)
	defer abort()
	runCallers(requests, arrivals, placedCallers)
	p := <-script
	stopWatch()
	reverted := <-reverts
	if p.err != nil {
		return Summary{}, p.err
	}
	cl.mu.Lock()
	firstErr := cl.firstErr
	cl.mu.Unlock()
	if firstErr != nil {
		return Summary{}, firstErr
	}
	return cl.checkPromises(placedCallers, p.result, reverted), ctx.Err()
}

// close stops all parts and waits for them; the run's context must be cancelled.
func (cl *cluster) close() {
	for _, s := range cl.allEntryVMs() {
		s.kill()
	}
	cl.wg.Wait()
	cl.network.Close()
	cl.client.CloseIdleConnections()
}

// checkPromises compares the records of callers and targets and returns the summary.
func (cl *cluster) checkPromises(placedCallers []placedCaller, result scriptResult, reverted []string) Summary {
	var records []caller.Record
	homes := make(map[string]string)
	maps.Copy(homes, result.injectedHomes)
	for _, p := range placedCallers {
		for _, r := range p.caller.Records() {
			records = append(records, r)
			for _, t := range r.Attempts {
				homes[t.ID] = p.homeRegion
			}
		}
	}
	var runs, intervals []promise.Run
	for _, m := range cl.targetVMs {
		runs = append(runs, m.Runs()...)
		intervals = append(intervals, m.Intervals()...)
	}
	checker := promise.NewChecker(records, runs)
	checker.CheckRequests()
	checker.CheckLeaving(result.drained, result.drainStart)
	checker.CheckShift(homes, cl.shiftCaps())
	checker.CheckStop(result.stopped, result.stopStart, result.stopEnd, ttl)
	for _, text := range reverted {
		checker.AddBreach(promise.MonotonicVersions, "%s", text)
	}
	s := cl.summary(records, runs, intervals, result)
	cl.checkUsage(checker, intervals)
	s.Breaches = checker.Breaches()
	return s
}

// checkUsage compares the peak use of the links and regions with their limits.
func (cl *cluster) checkUsage(checker *promise.Checker, intervals []promise.Run) {
	for _, u := range slices.Concat(cl.linkUsage(), cl.regionUsage(intervals)) {
		if u.Peak > u.Limit*usageTolerance {
			checker.AddBreach(promise.LinkAndRegionLimits, "%s: peak %.0f %s above the limit of %.0f", u.Name, u.Peak, u.Unit, u.Limit)
		}
	}
}

// usageTolerance allows for the bytes of gossip and headers, which are not charged to the link.
const usageTolerance = 1.02

// setFaults sets the faults of the settings that targets implement.
func (cl *cluster) setFaults() {
	for _, f := range cl.settings.Faults {
		cl.logProgress("fault: %s", f)
		cl.setFault(f)
	}
}
