package claim_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/request/claim"
)

// service is a key-value service in memory whose calls can fail, be lost or be held back.
type service struct {
	mu       sync.Mutex
	values   map[string]store.Value
	revision uint64
	fault    func(call string) fault
	delay    func() time.Duration
	puts     []time.Time
}

type fault uint8

const (
	none fault = iota
	down
	lostAnswer // lostAnswer means that the write takes effect and its answer is lost.
	lostWrite  // lostWrite means that neither the write nor an answer arrives.
	lateWrite  // lateWrite means that no answer arrives and the write is applied later.
)

// lateness is how long a late write stays on its way.
const lateness = 30 * time.Millisecond

func newService() *service {
	return &service{
		values: map[string]store.Value{},
		fault:  func(string) fault { return none },
		delay:  func() time.Duration { return 0 },
	}
}

// enter waits for the call's delay and then locks the service.
func (s *service) enter() func() {
	s.mu.Lock()
	d := s.delay()
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	return s.mu.Unlock
}

func (s *service) Get(_ context.Context, key string) (store.Value, error) {
	defer s.enter()()
	if s.fault("get") != none {
		return store.Value{}, store.ErrUnavailable
	}
	v, ok := s.values[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return v, nil
}

func (s *service) Put(_ context.Context, key string, data []byte, revision, _ uint64) (uint64, error) {
	defer s.enter()()
	f := s.fault("put")
	switch f {
	case down:
		return 0, store.ErrUnavailable
	case lostWrite:
		return 0, store.ErrUnknown
	case lateWrite:
		time.AfterFunc(lateness, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.write(key, data, revision)
		})
		return 0, store.ErrUnknown
	}
	written, err := s.write(key, data, revision)
	if f == lostAnswer {
		return 0, store.ErrUnknown
	}
	return written, err
}

func (s *service) write(key string, data []byte, revision uint64) (uint64, error) {
	if s.values[key].Revision() != revision {
		return 0, store.ErrConflict
	}
	s.revision++
	s.puts = append(s.puts, time.Now())
	s.values[key] = store.NewValue(key, data, s.revision)
	return s.revision, nil
}

func (s *service) List(_ context.Context, prefix string) ([]store.Value, error) {
	defer s.enter()()
	if s.fault("list") != none {
		return nil, store.ErrUnavailable
	}
	var found []store.Value
	for k, v := range s.values {
		if strings.HasPrefix(k, prefix) {
			found = append(found, v)
		}
	}
	return found, nil
}

func (s *service) Grant(context.Context, time.Duration) (uint64, error) {
	defer s.enter()()
	if s.fault("grant") != none {
		return 0, store.ErrUnavailable
	}
	return 1, nil
}

func newLog(owner string, s *service) *claim.Log {
	return claim.New(claim.Settings{Owner: owner, Retention: time.Hour, Keys: 120_000, Timeout: time.Second}, s)
}

func mustClaim(t *testing.T, l *claim.Log, key string, want bool) {
	t.Helper()
	if got, err := l.Claim(t.Context(), "t", "orders", key); got != want || err != nil {
		t.Errorf("Claim(%s) = %v, %v, want %v", key, got, err, want)
	}
}

// Guards against a key that two keepers run, whatever order their calls, lost
// answers, lost writes and late writes take.
func TestKeyIsClaimedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{none, none, none, none, down, lostAnswer, lostWrite, lateWrite}), 100, 100).Draw(rt, "faults")
		delays := rapid.SliceOfN(rapid.IntRange(0, 40), 100, 100).Draw(rt, "delays")
		starts := rapid.SliceOfN(rapid.IntRange(0, 400), 60, 60).Draw(rt, "starts")
		keys := []string{"k"}
		for len(keys) < 4 {
			keys = append(keys, sameRange(keys[len(keys)-1]+"x"))
		}
		synctest.Test(t, func(t *testing.T) {
			s := newService()
			calls := 0
			s.fault = func(string) fault { calls++; return faults[calls%len(faults)] }
			s.delay = func() time.Duration { return time.Duration(delays[calls%len(delays)]) * time.Millisecond }
			logs := []*claim.Log{newLog("a", s), newLog("b", s), newLog("c", s)}
			claimed := make([]atomic.Int32, len(keys))
			var wg sync.WaitGroup
			for i, start := range starts {
				wg.Go(func() {
					time.Sleep(time.Duration(start) * time.Millisecond)
					k := i % len(keys)
					if ok, _ := logs[i%len(logs)].Claim(t.Context(), "t", "orders", keys[k]); ok {
						claimed[k].Add(1)
					}
				})
			}
			wg.Wait()
			time.Sleep(lateness)
			for k := range claimed {
				if n := claimed[k].Load(); n > 1 {
					rt.Errorf("%s was claimed %d times", keys[k], n)
				}
			}
		})
	})
}

// Guards against a paused keeper that wakes after another entry has taken its
// range over and claims as if it still held it.
func TestPausedKeeperIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		mustClaim(t, second, "k1", false)
		key := sameRange("k1")
		mustClaim(t, second, key, true)
		mustClaim(t, first, key, false)
	})
}

// sameRange returns another key of the range of the given one.
func sameRange(key string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("%s-%d", key, i)
		if claim.Range("t", "orders", other) == claim.Range("t", "orders", key) {
			return other
		}
	}
}

// Guards against a key that stays claimed although it is proven not to have
// run, and against its second claim at another entry.
func TestReleasedKeyStaysWithItsKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		first.Release("t", "orders", "k1")
		mustClaim(t, second, "k1", false)
		mustClaim(t, first, "k1", true)
		mustClaim(t, first, "k1", false)
	})
}

// Guards against a released key that its keeper still counts as its own after
// the lease of the claim has lapsed and another entry has claimed it anew.
func TestReleasedKeyLapsesWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		first.Release("t", "orders", "k1")
		time.Sleep(2*time.Hour + time.Minute)
		for key := range s.values {
			if strings.Contains(key, "/segment/") {
				delete(s.values, key)
			}
		}
		mustClaim(t, second, "k1", true)
		mustClaim(t, first, "k1", false)
	})
}

// Guards against claims without the store, and against an outage that makes a key unusable for good.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		l := newLog("a", s)
		mustClaim(t, l, "k1", true)
		s.fault = func(string) fault { return down }
		if ok, err := l.Claim(t.Context(), "t", "orders", "k2"); ok || !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("Claim with the store down = %v, %v, want an unavailable store", ok, err)
		}
		mustClaim(t, l, "k1", false)
		s.fault = func(string) fault { return none }
		mustClaim(t, l, "k2", true)
	})
}

// Guards against more writes than the store allows: many concurrent claims
// share few writes, and each range waits an interval between two of them.
func TestConcurrentClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		l := newLog("a", s)
		start := time.Now()
		var wg sync.WaitGroup
		var mu sync.Mutex
		fresh := 0
		for i := range 4000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i%1000) * time.Millisecond)
				ok, err := l.Claim(t.Context(), "t", "orders", fmt.Sprintf("k%d", i))
				if err != nil {
					t.Errorf("Claim: %v", err)
				}
				mu.Lock()
				defer mu.Unlock()
				if ok {
					fresh++
				}
			})
		}
		wg.Wait()
		if fresh != 4000 {
			t.Errorf("%d of 4000 keys are fresh", fresh)
		}
		perRange := int(time.Since(start)/claim.Interval) + 1
		// Taking a range over and opening a segment write a few times more.
		if limit := claim.Ranges * (perRange + 4); len(s.puts) > limit {
			t.Errorf("%d writes in %v, want at most %d", len(s.puts), time.Since(start), limit)
		}
	})
}

// Guards against claims that are lost when segments fill up and the range changes hands.
func TestClaimsSurviveSegmentsAndTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		l := newLog("a", s)
		const count = 3 * claim.SegmentKeys * claim.Ranges / 2
		var wg sync.WaitGroup
		for i := range count {
			wg.Go(func() { mustClaim(t, l, fmt.Sprintf("k%d", i), true) })
		}
		wg.Wait()
		next := newLog("b", s)
		for i := range count {
			mustClaim(t, next, fmt.Sprintf("k%d", i), false)
		}
	})
}

// Guards against a run of a key whose claim may have been dropped with the retention.
func TestExpiredKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog("a", newService())
		key := uuidAt(time.Now().Add(-2 * time.Hour))
		if ok, err := l.Claim(t.Context(), "t", "orders", key); ok || !errors.Is(err, claim.ErrExpired) {
			t.Errorf("Claim of an old key = %v, %v, want ErrExpired", ok, err)
		}
		mustClaim(t, l, uuidAt(time.Now()), true)
	})
}

func uuidAt(at time.Time) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// Guards against a claim taken for stored although its write was lost.
func TestLostWriteIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		puts := 0
		s.fault = func(call string) fault {
			if call != "put" {
				return none
			}
			if puts++; puts == 1 {
				return lostWrite
			}
			return none
		}
		key := sameRange("k1")
		mustClaim(t, first, key, true)
		mustClaim(t, second, key, false)
	})
}
