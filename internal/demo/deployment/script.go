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

// The steps of the script as fractions of the duration.
const (
	patchAt = 0.15
	drainAt = 0.30
	loseAt  = 0.45
	stopAt  = 0.60
)

// stepLimit is how long a step waits for what it needs.
const stepLimit = 10 * time.Second

// replaceAfter is how long the platform takes to replace a lost VM.
const replaceAfter = 1500 * time.Millisecond

// notes are what the script did, for the summary and the checks.
type notes struct {
	patchVersion uint64
	patchTime    time.Duration // patchTime is until every entry had the patch in force.
	drained      string
	drainStart   time.Time
	lost         string
	stopped      string
	stopStart    time.Time
	stopEnd      time.Time
	intruders    map[string]string // intruders are the requests of a fault with their home regions.
}

// play runs the script; each step waits for its time.
func (w *world) play(ctx context.Context, begin time.Time) (notes, error) {
	var n notes
	steps := []struct {
		at  float64
		do  func(context.Context, *notes) error
		say string
	}{
		{patchAt, w.patch, "an operator's patch lands"},
		{drainAt, w.drain, "a target is drained"},
		{loseAt, w.lose, "an entry is lost and replaced"},
		{stopAt, w.stop, "an entry is stopped as planned and replaced"},
	}
	for _, s := range steps {
		wait(ctx, time.Until(begin.Add(time.Duration(s.at*float64(w.settings.Duration)))))
		if ctx.Err() != nil {
			return n, ctx.Err()
		}
		w.say("%s", s.say)
		if err := s.do(ctx, &n); err != nil {
			return n, fmt.Errorf("deployment: %s: %w", s.say, err)
		}
	}
	var err error
	n.intruders, err = w.intrude(ctx, n)
	return n, err
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

func (w *world) say(format string, args ...any) {
	if w.settings.Progress != nil {
		fmt.Fprintf(w.settings.Progress, "%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
}

// operate sends a change to the operators' API of an entry and returns the new version.
func (w *world) operate(ctx context.Context, entry, path string, body map[string]any) (uint64, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	_, _, _, admin := w.site(entry).node.Addresses()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+path, strings.NewReader(string(data)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := w.client.Do(req)
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

// patch changes the cap of the first service and waits until every entry has the change.
func (w *world) patch(ctx context.Context, n *notes) error {
	entry := w.plan.entryNames(zoneNames(w.plan.regions[2])[0])[0]
	begin := time.Now()
	version, err := w.operate(ctx, entry, "/patch", map[string]any{
		"base": w.site(entry).node.Version(), "id": "demo-patch", "who": "demo", "why": "more room for shifts",
		"patch": []map[string]any{{"op": "replace", "path": "/services/0/shift", "value": w.plan.services[0].shift + patchStep}},
	})
	if err != nil {
		return err
	}
	n.patchVersion = version
	// P8 allows 2 s at this size; the wait ends later so that a breach shows with its figure.
	for time.Since(begin) < propagationLimit {
		if w.lowest() >= version {
			n.patchTime = time.Since(begin)
			w.say("version %d in force on every entry after %s", version, n.patchTime.Round(time.Millisecond))
			return nil
		}
		wait(ctx, 10*time.Millisecond)
	}
	n.patchTime = propagationLimit
	return nil
}

// propagationLimit is how long the script waits for a version to be in force.
const propagationLimit = 5 * time.Second

// lowest returns the lowest version in force on any entry.
func (w *world) lowest() uint64 {
	low := ^uint64(0)
	for _, s := range w.all() {
		low = min(low, s.node.Version())
	}
	return low
}

// drain empties one target of the busiest service.
func (w *world) drain(ctx context.Context, n *notes) error {
	last := w.plan.services[len(w.plan.services)-1]
	for _, s := range w.plan.spots() {
		if s.service.name == last.name && w.plan.regionOf(s.zone) == w.plan.regions[1] {
			n.drained = s.name
			break
		}
	}
	entry := w.plan.entryNames(zoneNames(w.plan.regions[0])[0])[0]
	for begin := time.Now(); ; {
		n.drainStart = time.Now()
		_, err := w.operate(ctx, entry, "/drain", map[string]any{
			"id": "demo-drain", "who": "demo", "why": "maintenance", "name": "maintenance", "targets": []string{n.drained},
		})
		// An entry that has not adopted the patch yet makes the drain for an outdated version.
		if err == nil || time.Since(begin) > stepLimit || ctx.Err() != nil {
			return err
		}
		wait(ctx, replaceAfter/10)
	}
}

// lose kills an entry and starts its replacement, which has empty memory.
func (w *world) lose(ctx context.Context, n *notes) error {
	zone := zoneNames(w.plan.regions[1])[1]
	n.lost = w.plan.entryNames(zone)[0]
	w.site(n.lost).kill()
	w.list.Remove(n.lost)
	wait(ctx, replaceAfter)
	if w.settings.has(FaultStale) {
		return w.bootStale(ctx, n.lost, zone)
	}
	_, err := w.boot(ctx, n.lost, zone)
	return err
}

// stop shuts an entry down gracefully and starts its replacement.
func (w *world) stop(ctx context.Context, n *notes) error {
	zone := zoneNames(w.plan.regions[0])[1]
	n.stopped = w.plan.entryNames(zone)[1]
	s := w.site(n.stopped)
	n.stopStart = time.Now()
	w.list.Set(n.stopped, true)
	if w.settings.has(FaultCut) {
		// Without a request in flight the fault would break nothing.
		for limit := time.Now().Add(stepLimit); s.node.InFlight() == 0 && time.Now().Before(limit); {
			wait(ctx, time.Millisecond)
		}
		s.kill()
	} else {
		s.node.Drain(ctx)
		<-s.done
	}
	n.stopEnd = time.Now()
	w.say("%s stopped after %s", n.stopped, n.stopEnd.Sub(n.stopStart).Round(time.Millisecond))
	_, err := w.boot(ctx, n.stopped, zone)
	return err
}
