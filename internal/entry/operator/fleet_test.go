package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/entry/operator"
	"tamarackspool/internal/record/event"
)

const token = "0123456789abcdef"

// fakeFleet is the local entry's status and the answers of the other entries.
type fakeFleet struct {
	own     operator.Status
	answers map[string]func(ctx context.Context) ([]byte, error)
	mu      sync.Mutex
	queried []string
}

func (c *fakeFleet) Status() operator.Status {
	s := c.own
	s.At = time.Now()
	return s
}

func (c *fakeFleet) RequestStatus(ctx context.Context, entry string) ([]byte, error) {
	c.mu.Lock()
	c.queried = append(c.queried, entry)
	c.mu.Unlock()
	return c.answers[entry](ctx)
}

func answerWith(s operator.Status) func(context.Context) ([]byte, error) {
	return func(context.Context) ([]byte, error) { return operator.EncodePart(s) }
}

// newFakeFleet returns a fleet with local entry a in region ege, which owns nothing; b is in ege too and c in marmara.
func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		own: operator.Status{
			Entry: "a", Region: "ege", Version: 4, Regions: []operator.Region{{Name: "ege", Free: 3}, {Name: "marmara"}},
			ConfiguredTargets: []operator.Target{{Name: "t1", Region: "ege", Slots: 6}, {Name: "t2", Region: "marmara", Slots: 3}},
			Drains:            []operator.Drain{{Name: "d", Active: true, Quiet: true, Targets: []string{"t1"}}},
			Members: []operator.Member{
				{Name: "a", Region: "ege", State: "alive"},
				{Name: "b", Region: "ege", State: "alive"},
				{Name: "c", Region: "marmara", State: "alive"},
			},
		},
		answers: map[string]func(context.Context) ([]byte, error){
			"b": answerWith(operator.Status{
				Entry: "b", Version: 4, Uptime: time.Minute, Regions: []operator.Region{{Name: "ege", Busy: 2, Limit: 40}},
				Targets: []operator.Target{{Name: "t1", Region: "ege", Owned: true, Leaving: true, Cause: "d"}},
				Links:   []operator.Link{{From: "ege", To: "marmara", Used: 5, Share: 10, Limit: 100}},
			}),
			"c": answerWith(operator.Status{
				Entry: "c", Version: 3, Isolated: true,
				Targets: []operator.Target{{Name: "t2", Region: "marmara", Owned: true, Busy: 1, Limit: 3}},
			}),
		},
	}
}

type fleetStatus struct {
	Targets []struct {
		Name, Owner string
		Busy, Limit int
		Quiet       bool
		Claims      []struct{ Entry string }
	}
	Regions []struct {
		Name              string
		Busy, Limit, Free int
	}
	Drains []struct {
		Quiet  bool
		Busy   int
		Silent []string
	}
	Entries []struct {
		Name               string
		Version            uint64
		Answered, Isolated bool
		Problem            string
	}
	Missing []string
}

func (c *fakeFleet) api(t *testing.T) *operator.API {
	t.Helper()
	api, err := operator.New(token, operator.Dependencies{
		Reporter: c, Fleet: c, Log: event.New(log.NewNopLogger()), Now: time.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	return api
}

func get(t *testing.T, api *operator.API, path string) fleetStatus {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	api.ServeHTTP(w, r)
	var out fleetStatus
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil || w.Code != http.StatusOK {
		t.Fatalf("%s: %d %s", path, w.Code, w.Body)
	}
	return out
}

// Guards against a status that omits an entry with a failed, late or malformed answer, or that reports a
// drain as quiet while the owner or another entry of the region has not answered.
func TestMissingEntriesAreListed(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(ctx context.Context) ([]byte, error)
		want   string
	}{
		"silent": {func(context.Context) ([]byte, error) { return nil, errors.New("connection refused") }, "refused"},
		"late":   {func(ctx context.Context) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() }, "within 1s"},
		"too late": {func(context.Context) ([]byte, error) {
			time.Sleep(2 * time.Second)
			return []byte(`{"entry":"b"}`), nil
		}, "within 1s"},
		"malformed": {func(context.Context) ([]byte, error) { return []byte(`{"entry":`), nil }, "malformed"},
		"mistyped":  {func(context.Context) ([]byte, error) { return []byte(`{"entry":"b","targets":7}`), nil }, "malformed"},
		"empty":     {func(context.Context) ([]byte, error) { return nil, nil }, "malformed"},
		"another's": {answerWith(operator.Status{Entry: "c"}), "comes from"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet()
				api := f.api(t)
				if s := get(t, api, "/status"); len(s.Missing) != 0 || !s.Drains[0].Quiet || s.Targets[0].Owner != "b" {
					t.Fatalf("before: %+v", s)
				}
				time.Sleep(time.Second)
				f.answers["b"] = c.answer
				s := get(t, api, "/status")
				if len(s.Missing) != 1 || s.Missing[0] != "b" || s.Entries[1].Answered || !strings.Contains(s.Entries[1].Problem, c.want) {
					t.Errorf("missing %v, entries %+v", s.Missing, s.Entries)
				}
				if s.Drains[0].Quiet || len(s.Drains[0].Silent) != 1 || len(s.Targets) != 2 || s.Targets[0].Owner != "" {
					t.Errorf("drains %+v, targets %+v", s.Drains, s.Targets)
				}
				if e := s.Entries[2]; !e.Answered || e.Version != 3 || !e.Isolated {
					t.Errorf("entry c = %+v", e)
				}
			})
		})
	}
}

// Guards against a change of owner in which one of two claims is dropped: the drain would be quiet while the former
// owner still has requests in flight, or the target would appear to have no owner.
func TestTwoOwnersDuringChangeOfOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		f.own.Targets = []operator.Target{{Name: "t1", Region: "ege", Owned: true, Busy: 4, Limit: 6}}
		f.answers["b"] = answerWith(operator.Status{Entry: "b", Targets: []operator.Target{{Name: "t1", Owned: true, Leaving: true, Quiet: true}}})
		api := f.api(t)
		s := get(t, api, "/status")
		if one := s.Targets[0]; one.Owner != "a" || one.Busy != 4 || one.Limit != 6 || len(one.Claims) != 2 || one.Quiet || s.Drains[0].Quiet {
			t.Errorf("both serve: %+v, drain %+v", one, s.Drains[0])
		}
		time.Sleep(time.Second)
		f.own.Targets[0] = operator.Target{Name: "t1", Region: "ege", Busy: 1, Leaving: true}
		if s = get(t, api, "/status"); s.Targets[0].Owner != "b" || s.Drains[0].Quiet || s.Drains[0].Busy != 1 {
			t.Errorf("former owner has requests in flight: %+v, drain %+v", s.Targets[0], s.Drains[0])
		}
		time.Sleep(time.Second)
		f.own.Targets = nil
		if s = get(t, api, "/status"); !s.Drains[0].Quiet {
			t.Errorf("after the change of owner: %+v", s.Drains[0])
		}
	})
}

// Guards against status requests that each query the whole fleet, or that query entries of regions that are not shown.
func TestStatusIsCachedAndLimitedToRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		api := f.api(t)
		for range 5 {
			get(t, api, "/status")
		}
		if len(f.queried) != 2 {
			t.Errorf("5 calls queried %v", f.queried)
		}
		f.queried = nil
		s := get(t, api, "/status?region=marmara")
		if len(f.queried) != 1 || f.queried[0] != "c" || len(s.Targets) != 1 || s.Drains[0].Quiet {
			t.Errorf("marmara queried %v: %+v", f.queried, s)
		}
		f.own.Members[2].State = "dead"
		if s = get(t, api, "/status?region=ege"); len(s.Regions) != 1 || s.Regions[0].Busy != 2 || s.Regions[0].Limit != 40 || s.Regions[0].Free != 3 {
			t.Errorf("regions %+v", s.Regions)
		}
		time.Sleep(time.Second)
		f.queried = nil
		if s = get(t, api, "/status"); len(f.queried) != 1 || len(s.Missing) != 1 || !strings.Contains(s.Entries[2].Problem, "dead") {
			t.Errorf("a dead entry: queried %v, entries %+v", f.queried, s.Entries)
		}
	})
}

// Guards against a part whose size grows with the fleet or with the targets of a drain: a peer rejects a part
// above 256 KiB.
func TestPartStaysSmall(t *testing.T) {
	s := operator.Status{Entry: "a", Drains: []operator.Drain{{Name: "d", Active: true}}}
	for range 20_000 {
		s.Members = append(s.Members, operator.Member{Name: "entry-of-a-region"})
		s.ConfiguredTargets = append(s.ConfiguredTargets, operator.Target{Name: "target-of-a-region"})
		s.Drains[0].Targets = append(s.Drains[0].Targets, "target-of-a-region")
	}
	for range 20 {
		s.Targets = append(s.Targets, operator.Target{Name: "target-of-a-region", Service: "status", Zone: "a", Region: "ege"})
	}
	data, err := operator.EncodePart(s)
	if err != nil || len(data) > 8<<10 {
		t.Errorf("%d bytes for 20 owned targets, %v", len(data), err)
	}
}
