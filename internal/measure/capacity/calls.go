package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/current"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/request/claim"
	standin "tamarackspool/internal/standin/store"
)

// StoreRole measures the load that all entries together put on the platform's store.
type StoreRole struct{}

// Name returns the name of the role.
func (StoreRole) Name() string { return "store" }

// Scale counts entries.
func (StoreRole) Scale() Scale { return nodeScale(12, 192, DesignNodes) }

const (
	// followedChanges is the number of changes made while the watchers follow the configuration head.
	followedChanges = 40
	// claimerCount is the number of concurrent callers, each with its own keys; enough that every key range always has a write pending.
	claimerCount = 200
	// watcherCount is the number of entries that watch the configuration head (docs/design.md, section 2).
	watcherCount = 3
)

// Measure counts the store calls of a fleet that follows the configuration and of callers that claim keys at full speed.
func (StoreRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	out := make(map[string]float64)
	if err := measureFollowers(ctx, size, out); err != nil {
		return nil, err
	}
	if err := measureClaims(ctx, out); err != nil {
		return nil, err
	}
	perSecond := DesignChanges / secondsPerDay
	out["store-reads/s"] = out["follow-reads/change"]*perSecond + out["watch-polls/s"] + out["claim-reads/s"]
	out["store-writes/s"] = out["follow-writes/change"]*perSecond + out["claim-writes/s"]
	return out, nil
}

// measureFollowers runs a configuration follower per entry, of which only the chosen watchers watch the store, and makes changes.
func measureFollowers(ctx context.Context, size int, out map[string]float64) error {
	ctx, cancel := context.WithCancel(ctx)
	s, h := newHistory()
	defer s.Close()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	data, err := codec.Encode(document.New(configFields(size)))
	if err != nil {
		return err
	}
	if _, err := h.Create(ctx, data, nil); err != nil {
		return err
	}
	before := s.Counts()
	all := fleetMembers(size)
	chosen := make(map[string]bool)
	for _, name := range member.Watchers(all, watcherCount) {
		chosen[name] = true
	}
	for _, m := range all {
		f := history.NewFollower(history.FollowerSettings{
			Source: history.New(history.Settings{Store: newClient(s)}), Current: current.New(), Log: discardLog{},
		})
		f.SetWatching(chosen[m.Name()])
		wait.Go(func() { _ = f.Run(ctx) }) // Run returns the error of ctx.
	}
	if !waitUntil(ctx, func() bool { return s.Counts().WaitingWatches == watcherCount }) {
		return fmt.Errorf("capacity: %d watches are waiting, want %d", s.Counts().WaitingWatches, watcherCount)
	}
	out["start-reads"] = float64(s.Counts().Reads - before.Reads)
	out["waiting-watches"] = float64(s.Counts().WaitingWatches)
	// A watch returns after 5 s without a change (docs/design.md, section 8), so each waiting watch costs one call per 5 s.
	out["watch-polls/s"], err = idlePollRate(ctx, s)
	if err != nil {
		return err
	}
	before = s.Counts()
	for v := range uint64(followedChanges) {
		if err := submitChange(ctx, h, v+2); err != nil {
			return err
		}
		waitUntil(ctx, func() bool { return s.Counts().WaitingWatches == watcherCount })
	}
	after := s.Counts()
	out["follow-reads/change"] = float64(after.Reads-before.Reads) / followedChanges
	out["follow-writes/change"] = float64(after.Writes-before.Writes) / followedChanges
	return nil
}

// idlePollRate returns the calls per second of the waiting watches while the configuration does not change.
func idlePollRate(ctx context.Context, s *standin.Server) (float64, error) {
	const idleTime = 10 * time.Second
	before := s.Counts().Reads
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(idleTime):
	}
	return float64(s.Counts().Reads-before) / idleTime.Seconds(), nil
}

// waitUntil polls the condition for at most 5 s and reports whether it became true.
func waitUntil(ctx context.Context, done func() bool) bool {
	for range 5000 {
		if done() {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// measureClaims measures the store calls of all key ranges while every range always has keys waiting to be claimed.
func measureClaims(ctx context.Context, out map[string]float64) error {
	s := standin.New(standin.Settings{Token: "k"})
	defer s.Close()
	claims := claim.New(claim.Settings{Owner: "keeper", Retention: 24 * time.Hour, MaxKeys: 1 << 20, CallTimeout: time.Second}, newClient(s))
	const length = 2 * time.Second
	var wait sync.WaitGroup
	var failed, keys atomic.Int64
	before, end := s.Counts(), time.Now().Add(length)
	for i := range claimerCount {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if _, err := claims.Claim(ctx, "parents", "gifts", fmt.Sprintf("%d-%d", i, n)); err != nil {
					failed.Add(1)
					return
				}
				keys.Add(1)
			}
		})
	}
	wait.Wait()
	after := s.Counts()
	if failed.Load() > 0 {
		return fmt.Errorf("capacity: %d of %d claimers failed", failed.Load(), claimerCount)
	}
	out["claim-writes/s"] = float64(after.Writes-before.Writes) / length.Seconds()
	out["claim-reads/s"] = float64(after.Reads-before.Reads) / length.Seconds()
	out["claimed-keys/s"] = float64(keys.Load()) / length.Seconds()
	return nil
}
