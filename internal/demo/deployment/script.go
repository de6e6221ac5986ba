package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The start times of the script's steps as fractions of the run's duration.
const (
	patchAt = 0.15
	drainAt = 0.30
	loseAt  = 0.45
	stopAt  = 0.60
)

// stepTimeout bounds how long a step waits for its preconditions.
const stepTimeout = 10 * time.Second

// replacementDelay is the time that the platform takes to replace a lost VM.
const replacementDelay = 1500 * time.Millisecond

// scriptResult is the outcome of the script's steps, for the summary and the checks.
type scriptResult struct {
	patchVersion  uint64
	patchTime     time.Duration // patchTime is the time until the patch was in force on every entry.
	drained       string
	drainStart    time.Time
	lost          string
	stopped       string
	stopStart     time.Time
	stopEnd       time.Time
	injectedHomes map[string]string // injectedHomes holds the home regions of an injected fault's requests by request ID.
}

// runScript runs the steps of the script at their start times.
func (cl *cluster) runScript(ctx context.Context, begin time.Time) (scriptResult, error) {
	var result scriptResult
	steps := []struct {
		at    float64
		do    func(context.Context, *scriptResult) error
		title string
	}{
		{patchAt, cl.applyPatch, "an operator's patch is applied"},
		{drainAt, cl.drainTarget, "a target is drained"},
		{loseAt, cl.loseEntry, "an entry is lost and replaced"},
		{stopAt, cl.stopEntry, "an entry is stopped as planned and replaced"},
	}
	for _, s := range steps {
		wait(ctx, time.Until(begin.Add(time.Duration(s.at*float64(cl.settings.Duration)))))
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		cl.logProgress("%s", s.title)
		if err := s.do(ctx, &result); err != nil {
			return result, fmt.Errorf("deployment: %s: %w", s.title, err)
		}
	}
	var err error
	result.injectedHomes, err = cl.injectRequests(ctx, result)
	return result, err
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (cl *cluster) logProgress(format string, args ...any) {
	if cl.settings.Progress != nil {
		fmt.Fprintf(cl.settings.Progress, "%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
}

// postChange sends a change to the operators' API of an entry and returns the new version.
func (cl *cluster) postChange(ctx context.Context, entry, path string, body map[string]any) (uint64, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	_, _, _, admin := cl.entryVM(entry).node.Addresses()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+path, strings.NewReader(string(data)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := cl.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(answer, &out) != nil {
		return 0, fmt.Errorf("%s answered %d: %s", path, resp.StatusCode, answer)
	}
	return out.Version, nil
}

// applyPatch raises the shift cap of the first service and waits until the change is in force on every entry.
func (cl *cluster) applyPatch(ctx context.Context, result *scriptResult) error {
	entry := cl.plan.entryNames(zoneNames(cl.plan.regions[2])[0])[0]
	begin := time.Now()
	version, err := cl.postChange(ctx, entry, "/patch", map[string]any{
		"base": cl.entryVM(entry).node.Version(), "id": "demo-patch", "who": "demo", "why": "more room for shifts",
		"patch": []map[string]any{{"op": "replace", "path": "/services/0/shift", "value": cl.plan.services[0].shiftCap + patchStep}},
	})
	if err != nil {
		return err
	}
	result.patchVersion = version
	// Promise P8 allows 2 s for a deployment of this size. The wait is longer, so that
	// the summary shows by how much a run exceeds it.
	for time.Since(begin) < propagationTimeout {
		if cl.lowestVersion() >= version {
			result.patchTime = time.Since(begin)
			cl.logProgress("version %d in force on every entry after %s", version, result.patchTime.Round(time.Millisecond))
			return nil
		}
		wait(ctx, 10*time.Millisecond)
	}
	result.patchTime = propagationTimeout
	return nil
}

// propagationTimeout bounds how long the script waits until a version is in force on every entry.
const propagationTimeout = 5 * time.Second

// lowestVersion returns the lowest version in force on any entry.
func (cl *cluster) lowestVersion() uint64 {
	low := ^uint64(0)
	for _, s := range cl.allEntryVMs() {
		low = min(low, s.node.Version())
	}
	return low
}

// drainTarget drains one target of the last service, the busiest one.
func (cl *cluster) drainTarget(ctx context.Context, result *scriptResult) error {
	last := cl.plan.services[len(cl.plan.services)-1]
	for _, s := range cl.plan.plannedTargets() {
		if s.service.name == last.name && cl.plan.regionOf(s.zone) == cl.plan.regions[1] {
			result.drained = s.name
			break
		}
	}
	entry := cl.plan.entryNames(zoneNames(cl.plan.regions[0])[0])[0]
	for begin := time.Now(); ; {
		result.drainStart = time.Now()
		_, err := cl.postChange(ctx, entry, "/drain", map[string]any{
			"id": "demo-drain", "who": "demo", "why": "maintenance", "name": "maintenance", "targets": []string{result.drained},
		})
		// An entry that hasn't adopted the patch yet bases the drain on an outdated version, which is refused.
		if err == nil || time.Since(begin) > stepTimeout || ctx.Err() != nil {
			return err
		}
		wait(ctx, replacementDelay/10)
	}
}

// loseEntry kills an entry and starts its replacement, which has no state.
func (cl *cluster) loseEntry(ctx context.Context, result *scriptResult) error {
	zone := zoneNames(cl.plan.regions[1])[1]
	result.lost = cl.plan.entryNames(zone)[0]
	cl.entryVM(result.lost).kill()
	cl.vmList.Remove(result.lost)
	wait(ctx, replacementDelay)
	if cl.settings.hasFault(FaultStale) {
		return cl.startStaleEntry(ctx, result.lost, zone)
	}
	_, err := cl.startEntry(ctx, result.lost, zone)
	return err
}

// stopEntry performs a planned stop of an entry and starts its replacement.
func (cl *cluster) stopEntry(ctx context.Context, result *scriptResult) error {
	zone := zoneNames(cl.plan.regions[0])[1]
	result.stopped = cl.plan.entryNames(zone)[1]
	s := cl.entryVM(result.stopped)
	result.stopStart = time.Now()
	cl.vmList.Set(result.stopped, true)
	if cl.settings.hasFault(FaultCut) {
		// The fault breaks the promise only if a request is in flight.
		for limit := time.Now().Add(stepTimeout); s.node.InFlight() == 0 && time.Now().Before(limit); {
			wait(ctx, time.Millisecond)
		}
		s.kill()
	} else {
		s.node.Drain(ctx)
		<-s.done
	}
	result.stopEnd = time.Now()
	cl.logProgress("%s stopped after %s", result.stopped, result.stopEnd.Sub(result.stopStart).Round(time.Millisecond))
	_, err := cl.startEntry(ctx, result.stopped, zone)
	return err
}
