package history_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/config/current"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/record/event"
	standin "tamarackspool/internal/standin/store"
)

// startFollower runs a follower against the stand-in store until the test ends.
func startFollower(t *testing.T, s *standin.Server) (*history.Follower, *current.Current, *bytes.Buffer) {
	t.Helper()
	var lines bytes.Buffer
	adopted := current.New()
	f := history.NewFollower(history.FollowerSettings{
		Source: open(s), Current: adopted, Log: event.New(log.NewLogfmtLogger(&lines)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, adopted, &lines
}

// expectVersion sleeps for the given time and checks the adopted version then.
func expectVersion(t *testing.T, adopted *current.Current, version uint64, after time.Duration) {
	t.Helper()
	time.Sleep(after)
	synctest.Wait()
	if v, _, _ := adopted.Raw(); v != version {
		t.Fatalf("version %d after %v, want %d", v, after, version)
	}
}

// Guards against a version that is adopted late, reverted or missed when the watch gets no response, or the store
// is down, slow, or restarted with a stale read.
func TestFollowerThroughFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		f, adopted, lines := startFollower(t, s)
		expectVersion(t, adopted, 0, time.Second)
		f.SetWatching(true)
		expectVersion(t, adopted, 1, 0)
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
		expectVersion(t, adopted, 2, 0)

		s.SetWatchesSilent(true)
		time.Sleep(4500 * time.Millisecond) // the pending long poll ends without a response
		submit(t, h, keepPatch(2, "b", 2), history.Applied, 3)
		expectVersion(t, adopted, 3, 5*time.Second)
		s.SetWatchesSilent(false)

		s.SetDown(true)
		expectVersion(t, adopted, 3, time.Hour)
		s.SetDown(false)
		submit(t, h, keepPatch(3, "c", 3), history.Applied, 4)
		expectVersion(t, adopted, 4, 2*time.Second)

		s.Restart(true)
		expectVersion(t, adopted, 4, 2*time.Second)
		submit(t, h, keepPatch(4, "d", 4), history.Applied, 5)
		expectVersion(t, adopted, 5, 2*time.Second)

		s.SetDelay(time.Second)
		submit(t, h, keepPatch(5, "e", 5), history.Applied, 6)
		expectVersion(t, adopted, 6, 7*time.Second)
		s.SetDelay(0)

		for _, name := range []string{"watch-silent", "store-unavailable", "store-restored", "version-adopted"} {
			if !bytes.Contains(lines.Bytes(), []byte("name="+name)) {
				t.Errorf("no event %s", name)
			}
		}
		if n := bytes.Count(lines.Bytes(), []byte("name=store-unavailable")); n > 2 {
			t.Errorf("%d events for two outages of the store", n)
		}
	})
}

// Guards against an entry that continues to watch after other entries have taken over, and against one that
// cannot resume watching.
func TestFollowerStopsWatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		f, adopted, _ := startFollower(t, s)
		for i := range uint64(3) {
			f.SetWatching(true)
			expectVersion(t, adopted, i+1, 2*time.Second)
			if n := s.Counts().WaitingWatches; n != 1 {
				t.Fatalf("%d watches wait, want 1", n)
			}
			f.SetWatching(false)
			expectVersion(t, adopted, i+1, 5*time.Second)
			before := s.Counts()
			submit(t, h, keepPatch(i+1, string(rune('a'+i)), int(i)), history.Applied, i+2)
			expectVersion(t, adopted, i+1, time.Hour)
			if n := s.Counts(); n.WaitingWatches != 0 || n.Reads > before.Reads+10 {
				t.Fatalf("calls of an entry that does not watch: %+v, before %+v", n, before)
			}
		}
	})
}

// Guards against a replaced entry that serves with an older version than its predecessor had (fault: replaced entry).
func TestReplacedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := newHistory(t)
		submit(t, h, keepPatch(1, "a", 1), history.Applied, 2)
		f, adopted, _ := startFollower(t, s)
		adopted.Raise(2)
		s.SetDown(true)
		if err := f.Refresh(t.Context()); err == nil || adopted.Ready() || f.StoreReachable() {
			t.Errorf("Refresh with the store down: %v, ready %v", err, adopted.Ready())
		}
		s.SetDown(false)
		s.Restart(true)
		if err := f.Refresh(t.Context()); err != nil || adopted.Ready() {
			t.Errorf("Refresh with a stale read: %v, ready %v", err, adopted.Ready())
		}
		if err := f.Refresh(t.Context()); err != nil || !adopted.Ready() || !f.StoreReachable() {
			t.Errorf("Refresh: %v, ready %v", err, adopted.Ready())
		}
	})
}
