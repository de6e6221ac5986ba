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

// Store measures the calls of all entries to the platform's store.
type Store struct{}

// Name returns the name of the role.
func (Store) Name() string { return "store" }

// Scale counts entries.
func (Store) Scale() Scale { return nodeScale(12, 192, DesignNodes) }

const (
	// probeChanges are made while the watchers follow the head.
	probeChanges = 40
	// claimers are the concurrent callers with keys of their own, enough to keep every range writing.
	claimers = 200
	// watchers is how many entries watch the head (docs/design.md, section 2).
	watchers = 3
)

// Measure lets a fleet follow the configuration and its keepers claim keys as fast as they can.
func (Store) Measure(ctx context.Context, size int) (map[string]float64, error) {
	out := make(map[string]float64)
	if err := follow(ctx, size, out); err != nil {
		return nil, err
	}
	if err := claims(ctx, out); err != nil {
		return nil, err
	}
	perSecond := DesignChanges / seconds
	out["store-reads/s"] = out["follow-reads/change"]*perSecond + out["watch-polls/s"] + out["claim-reads/s"]
	out["store-writes/s"] = out["follow-writes/change"]*perSecond + out["claim-writes/s"]
	return out, nil
}

// follow runs a follower per entry, of which only the watchers by rank watch, and makes changes.
func follow(ctx context.Context, size int, out map[string]float64) error {
	ctx, cancel := context.WithCancel(ctx)
	s, h := newHistory()
	defer s.Close()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	data, err := codec.Encode(document.New(fields(size)))
	if err != nil {
		return err
	}
	if _, err := h.Create(ctx, data, nil); err != nil {
		return err
	}
	before := s.Counts()
	all := members(size)
	chosen := make(map[string]bool)
	for _, name := range member.Watchers(all, watchers) {
		chosen[name] = true
	}
	for _, m := range all {
		f := history.NewFollower(history.FollowerSettings{
			Source: history.New(history.Settings{Store: newClient(s)}), Current: current.New(), Log: silent{},
		})
		f.SetWatching(chosen[m.Name()])
		wait.Go(func() { _ = f.Run(ctx) }) // Run ends with the context's error.
	}
	if !await(ctx, func() bool { return s.Counts().WaitingWatches == watchers }) {
		return fmt.Errorf("capacity: %d watches wait, want %d", s.Counts().WaitingWatches, watchers)
	}
	out["start-reads"] = float64(s.Counts().Reads - before.Reads)
	out["waiting-watches"] = float64(s.Counts().WaitingWatches)
	// The 5 s limit of a watch (docs/design.md, section 8) makes each waiting watch a call every 5 s without changes.
	out["watch-polls/s"], err = polls(ctx, s)
	if err != nil {
		return err
	}
	before = s.Counts()
	for v := range uint64(probeChanges) {
		if err := submit(ctx, h, v+2); err != nil {
			return err
		}
		await(ctx, func() bool { return s.Counts().WaitingWatches == watchers })
	}
	after := s.Counts()
	out["follow-reads/change"] = float64(after.Reads-before.Reads) / probeChanges
	out["follow-writes/change"] = float64(after.Writes-before.Writes) / probeChanges
	return nil
}

// polls counts the calls of the waiting watches while nothing changes.
func polls(ctx context.Context, s *standin.Server) (float64, error) {
	const quiet = 10 * time.Second
	before := s.Counts().Reads
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(quiet):
	}
	return float64(s.Counts().Reads-before) / quiet.Seconds(), nil
}

// await polls the condition for at most 5 s and reports whether it came true.
func await(ctx context.Context, done func() bool) bool {
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

// claims measures the writes of all key ranges when every range has keys waiting all the time.
func claims(ctx context.Context, out map[string]float64) error {
	s := standin.New(standin.Settings{Token: "k"})
	defer s.Close()
	log := claim.New(claim.Settings{Owner: "keeper", Retention: 24 * time.Hour, MaxKeys: 1 << 20, CallTimeout: time.Second}, newClient(s))
	const length = 2 * time.Second
	var wait sync.WaitGroup
	var failed, keys atomic.Int64
	before, end := s.Counts(), time.Now().Add(length)
	for i := range claimers {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if _, err := log.Claim(ctx, "parents", "gifts", fmt.Sprintf("%d-%d", i, n)); err != nil {
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
		return fmt.Errorf("capacity: %d of %d claimers failed", failed.Load(), claimers)
	}
	out["claim-writes/s"] = float64(after.Writes-before.Writes) / length.Seconds()
	out["claim-reads/s"] = float64(after.Reads-before.Reads) / length.Seconds()
	out["claimed-keys/s"] = float64(keys.Load()) / length.Seconds()
	return nil
}
