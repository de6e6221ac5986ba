package propagation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// propagationTimeout is the time after which an entry without the version counts as missed.
	propagationTimeout = 15 * time.Second
	// observeInterval is the interval at which the versions of the entries are polled, and so the resolution of the times.
	observeInterval = time.Millisecond
	// maxPause bounds the random pause before a change. It is longer than the 200 ms between two gossip exchanges, so that changes
	// come at any phase of the exchange.
	maxPause = 400 * time.Millisecond
	// recoveryTime is how long a fleet runs after a store outage before the next change.
	recoveryTime = 2 * time.Second
)

// measureChange submits one patch through a random entry and returns the time from its acceptance to each entry. A negative
// time means that the entry did not get the version.
func (f *fleet) measureChange(ctx context.Context, fault Fault, random *rand.Rand) ([]time.Duration, error) {
	time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
	via := random.IntN(len(f.processes))
	replaced := (via + 1 + random.IntN(len(f.processes)-1)) % len(f.processes)
	if fault == EntryReplaced {
		f.killEntry(replaced)
	}
	f.storeServer.downOnAccept.Store(fault == StoreDown)
	want := f.version + 1
	seen := make(chan []time.Time, 1)
	observeCtx, stop := context.WithTimeout(ctx, propagationTimeout)
	defer stop()
	go func() { seen <- f.observeVersions(observeCtx, want) }()
	submitted := make(chan error, 1)
	go func() { submitted <- f.submitPatch(ctx, via, want) }()
	var accepted time.Time
	var err error
	select {
	case accepted = <-f.storeServer.accepted:
	case <-observeCtx.Done():
		err = fmt.Errorf("propagation: version %d was not accepted", want)
	}
	if fault == EntryReplaced && err == nil {
		err = f.startEntry(ctx, replaced)
	}
	if err != nil {
		stop()
	}
	at := <-seen
	if e := <-submitted; err == nil {
		err = e
	}
	f.version = want
	if fault == StoreDown {
		f.storeServer.store.SetDown(false)
		time.Sleep(recoveryTime)
	}
	return latencies(accepted, at), err
}

// latencies returns the times from the acceptance, -1 for a zero time. An entry can be seen with the version just before the
// store's response is recorded as the acceptance; its latency is 0.
func latencies(accepted time.Time, at []time.Time) []time.Duration {
	out := make([]time.Duration, len(at))
	for i, t := range at {
		out[i] = -1
		if !t.IsZero() {
			out[i] = max(0, t.Sub(accepted))
		}
	}
	return out
}

// observeVersions polls until all entries have the version or ctx ends, and returns when each entry was first seen with it. The
// zero time means never.
func (f *fleet) observeVersions(ctx context.Context, want uint64) []time.Time {
	at := make([]time.Time, len(f.processes))
	remaining := len(at)
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for remaining > 0 {
		for i := range at {
			if at[i].IsZero() && f.heldVersion(i) >= want {
				at[i] = time.Now()
				remaining--
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return at
		}
	}
	return at
}

// submitPatch sends the patch to the operator API of the entry.
func (f *fleet) submitPatch(ctx context.Context, via int, want uint64) error {
	f.mu.Lock()
	_, _, _, admin := f.processes[via].node.Addresses()
	f.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"base": want - 1, "id": fmt.Sprintf("change-%d", want), "who": "measure", "why": "measure",
		"patch": []map[string]any{{"op": "replace", "path": "/services/0/shift", "value": 40 + want%2}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+"/patch", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("propagation: patch %d: status %d: %s", want, resp.StatusCode, text)
	}
	return err
}
