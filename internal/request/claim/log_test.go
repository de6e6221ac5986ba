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

// fakeStore is an in-memory key-value service whose calls can fail, get lost or be delayed.
type fakeStore struct {
	mu       sync.Mutex
	values   map[string]store.Value
	revision uint64
	fault    func(call string) fault
	delay    func() time.Duration
	puts     []time.Time
}

type fault uint8

const (
	noFault fault = iota
	unavailable
	lostResponse // lostResponse means that the write takes effect and its response is lost.
	lostWrite    // lostWrite means that the write is lost, and so no response arrives.
	delayedWrite // delayedWrite means that no response arrives and the write takes effect after writeDelay.
)

// writeDelay is the time until a delayed write takes effect.
const writeDelay = 30 * time.Millisecond

func newFakeStore() *fakeStore {
	return &fakeStore{
		values: map[string]store.Value{},
		fault:  func(string) fault { return noFault },
		delay:  func() time.Duration { return 0 },
	}
}

// delayAndLock waits for the delay of the call, locks the store and returns the unlock function.
func (s *fakeStore) delayAndLock() func() {
	s.mu.Lock()
	d := s.delay()
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	return s.mu.Unlock
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Value, error) {
	defer s.delayAndLock()()
	if s.fault("get") != noFault {
		return store.Value{}, store.ErrUnavailable
	}
	v, ok := s.values[key]
	if !ok {
		return store.Value{}, store.ErrNotFound
	}
	return v, nil
}

func (s *fakeStore) Put(_ context.Context, key string, data []byte, revision, _ uint64) (uint64, error) {
	defer s.delayAndLock()()
	f := s.fault("put")
	switch f {
	case unavailable:
		return 0, store.ErrUnavailable
	case lostWrite:
		return 0, store.ErrOutcomeUnknown
	case delayedWrite:
		time.AfterFunc(writeDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.write(key, data, revision)
		})
		return 0, store.ErrOutcomeUnknown
	}
	written, err := s.write(key, data, revision)
	if f == lostResponse {
		return 0, store.ErrOutcomeUnknown
	}
	return written, err
}

func (s *fakeStore) write(key string, data []byte, revision uint64) (uint64, error) {
	if s.values[key].Revision() != revision {
		return 0, store.ErrConflict
	}
	s.revision++
	s.puts = append(s.puts, time.Now())
	s.values[key] = store.NewValue(key, data, s.revision)
	return s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]store.Value, error) {
	defer s.delayAndLock()()
	if s.fault("list") != noFault {
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

func (s *fakeStore) Grant(context.Context, time.Duration) (uint64, error) {
	defer s.delayAndLock()()
	if s.fault("grant") != noFault {
		return 0, store.ErrUnavailable
	}
	return 1, nil
}

func newLog(owner string, s *fakeStore) *claim.Log {
	return claim.New(claim.Settings{Owner: owner, Retention: time.Hour, MaxKeys: 120_000, CallTimeout: time.Second}, s)
}

func mustClaim(t *testing.T, l *claim.Log, key string, want bool) {
	t.Helper()
	if got, err := l.Claim(t.Context(), "t", "orders", key); got != want || err != nil {
		t.Errorf("Claim(%s) = %v, %v, want %v", key, got, err, want)
	}
}

// Guards against a key that two entries claim, for any order of their calls
// and any combination of outages, lost responses, lost writes and delayed writes.
func TestKeyIsClaimedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, noFault, noFault, unavailable, lostResponse, lostWrite, delayedWrite}), 100, 100).Draw(rt, "faults")
		delays := rapid.SliceOfN(rapid.IntRange(0, 40), 100, 100).Draw(rt, "delays")
		starts := rapid.SliceOfN(rapid.IntRange(0, 400), 60, 60).Draw(rt, "starts")
		keys := []string{"k"}
		for len(keys) < 4 {
			keys = append(keys, otherKeyInRange(keys[len(keys)-1]+"x"))
		}
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
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
			time.Sleep(writeDelay)
			for k := range claimed {
				if n := claimed[k].Load(); n > 1 {
					rt.Errorf("%s was claimed %d times", keys[k], n)
				}
			}
		})
	})
}

// Guards against an owner that resumes after a pause during which another entry
// acquired its range, and claims a key as if it still owned the range.
func TestPausedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		mustClaim(t, second, "k1", false)
		key := otherKeyInRange("k1")
		mustClaim(t, second, key, true)
		mustClaim(t, first, key, false)
	})
}

// otherKeyInRange returns another key in the same range as the given key.
func otherKeyInRange(key string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("%s-%d", key, i)
		if claim.RangeOf("t", "orders", other) == claim.RangeOf("t", "orders", key) {
			return other
		}
	}
}

// Guards against a key that its owner cannot claim again although its request has
// not run, and against a second claim of the key by another entry.
func TestReleasedKeyStaysWithItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		first.Release("t", "orders", "k1")
		mustClaim(t, second, "k1", false)
		mustClaim(t, first, "k1", true)
		mustClaim(t, first, "k1", false)
	})
}

// Guards against a released key that the owner's memory still shows as claimable
// after the lease of the claim has expired and another entry has claimed the key.
func TestReleasedKeyExpiresWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
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

// Guards against claims that succeed while the store is unavailable, and against
// an outage that makes a key permanently unusable.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		l := newLog("a", s)
		mustClaim(t, l, "k1", true)
		s.fault = func(string) fault { return unavailable }
		if ok, err := l.Claim(t.Context(), "t", "orders", "k2"); ok || !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("Claim with the store down = %v, %v, want an unavailable store", ok, err)
		}
		mustClaim(t, l, "k1", false)
		s.fault = func(string) fault { return noFault }
		mustClaim(t, l, "k2", true)
	})
}

// Guards against a write rate above the store's limit: concurrent claims share
// writes, and each range waits for claim.WriteInterval between two writes.
func TestConcurrentClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		l := newLog("a", s)
		start := time.Now()
		var wg sync.WaitGroup
		var mu sync.Mutex
		claimed := 0
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
					claimed++
				}
			})
		}
		wg.Wait()
		if claimed != 4000 {
			t.Errorf("%d of 4000 keys were claimed", claimed)
		}
		perRange := int(time.Since(start)/claim.WriteInterval) + 1
		// Acquiring a range and creating a segment take a few more writes.
		if limit := claim.RangeCount * (perRange + 4); len(s.puts) > limit {
			t.Errorf("%d writes in %v, want at most %d", len(s.puts), time.Since(start), limit)
		}
	})
}

// Guards against claims that are lost when segments fill up and another entry acquires the range.
func TestClaimsSurviveNewSegmentsAndOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		l := newLog("a", s)
		const count = 3 * claim.SegmentKeys * claim.RangeCount / 2
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

// Guards against a successful claim of a key that is older than the retention,
// whose earlier claim may have been dropped.
func TestExpiredKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog("a", newFakeStore())
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

// Guards against a claim that is reported as stored although its write was lost.
func TestLostWriteIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		first, second := newLog("a", s), newLog("b", s)
		mustClaim(t, first, "k1", true)
		puts := 0
		s.fault = func(call string) fault {
			if call != "put" {
				return noFault
			}
			if puts++; puts == 1 {
				return lostWrite
			}
			return noFault
		}
		key := otherKeyInRange("k1")
		mustClaim(t, first, key, true)
		mustClaim(t, second, key, false)
	})
}
