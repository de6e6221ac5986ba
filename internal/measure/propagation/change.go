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
	// patience is how long a version may take before an entry counts as missed.
	patience = 15 * time.Second
	// look is how often the entries' versions are looked at, and so the resolution.
	look = time.Millisecond
	// longestPause bounds the random pause before a change, longer than the 200 ms between two exchanges.
	longestPause = 400 * time.Millisecond
	// recovery is how long a fleet runs after a fault before the next change.
	recovery = 2 * time.Second
)

// change submits one patch through a random entry and returns how long each entry took from its acceptance;
// a negative time is a miss.
func (f *fleet) change(ctx context.Context, fault Fault, random *rand.Rand) ([]time.Duration, error) {
	time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
	by := random.IntN(len(f.sites))
	gone := (by + 1 + random.IntN(len(f.sites)-1)) % len(f.sites)
	if fault == Replaced {
		f.kill(gone)
	}
	f.platform.down.Store(fault == Down)
	want := f.version + 1
	seen := make(chan []time.Time, 1)
	observe, stop := context.WithTimeout(ctx, patience)
	defer stop()
	go func() { seen <- f.observe(observe, want) }()
	submitted := make(chan error, 1)
	go func() { submitted <- f.submit(ctx, by, want) }()
	var accepted time.Time
	var err error
	select {
	case accepted = <-f.platform.accepted:
	case <-observe.Done():
		err = fmt.Errorf("propagation: version %d was not accepted", want)
	}
	if fault == Replaced && err == nil {
		err = f.boot(ctx, gone)
	}
	if err != nil {
		stop()
	}
	at := <-seen
	if e := <-submitted; err == nil {
		err = e
	}
	f.version = want
	if fault == Down {
		f.platform.store.SetDown(false)
		time.Sleep(recovery)
	}
	return since(accepted, at), err
}

// since returns the times from the acceptance; an entry may look to be earlier by the store's answer itself.
func since(accepted time.Time, at []time.Time) []time.Duration {
	out := make([]time.Duration, len(at))
	for i, t := range at {
		out[i] = -1
		if !t.IsZero() {
			out[i] = max(0, t.Sub(accepted))
		}
	}
	return out
}

// observe returns when each entry had the version; the zero time stands for never.
func (f *fleet) observe(ctx context.Context, want uint64) []time.Time {
	at := make([]time.Time, len(f.sites))
	left := len(at)
	t := time.NewTicker(look)
	defer t.Stop()
	for left > 0 {
		for i := range at {
			if at[i].IsZero() && f.held(i) >= want {
				at[i] = time.Now()
				left--
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

// submit sends the patch to the operators' port of the entry.
func (f *fleet) submit(ctx context.Context, by int, want uint64) error {
	f.mu.Lock()
	_, _, _, admin := f.sites[by].node.Addresses()
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
