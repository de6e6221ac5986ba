package roster_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"tamarackspool/internal/platform/roster"
	standin "tamarackspool/internal/standin/roster"
)

// Guards against a stand-in list that shows changes before its lag has passed, and against an outage that is
// reported as an empty list.
func TestLag(t *testing.T) {
	now := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	s := standin.New(10*time.Second, func() time.Time { return now })
	server := httptest.NewServer(s)
	defer server.Close()
	c := roster.New(server.URL, server.Client())
	s.Set("ege-a-1", false)
	now = now.Add(5 * time.Second)
	s.Set("ege-a-1", true)
	for _, want := range []struct {
		after   time.Duration
		n       int
		leaving bool
	}{{0, 0, false}, {5 * time.Second, 1, false}, {5 * time.Second, 1, true}, {2 * time.Hour, 1, true}} {
		now = now.Add(want.after)
		list, err := c.List(t.Context())
		if err != nil || len(list) != want.n || (want.n == 1 && list[0].Leaving() != want.leaving) {
			t.Fatalf("List at %v = %v, %v; want %d, leaving %v", now, list, err, want.n, want.leaving)
		}
	}
	s.SetFrozen(true)
	s.Remove("ege-a-1")
	now = now.Add(time.Minute)
	if list, err := c.List(t.Context()); err != nil || len(list) != 1 {
		t.Errorf("frozen list = %v, %v", list, err)
	}
	s.SetFrozen(false)
	if list, err := c.List(t.Context()); err != nil || len(list) != 0 {
		t.Errorf("list after the freeze = %v, %v", list, err)
	}
	s.SetDown(true)
	if _, err := c.List(t.Context()); !errors.Is(err, roster.ErrUnavailable) {
		t.Errorf("down: %v", err)
	}
}
