package caller_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"sync"
	"testing"
	"time"

	"tamarackspool/internal/standin/caller"
)

// fakeEntry is an entry that responds with the verdict may-have-run to the first request with each idempotency key.
type fakeEntry struct {
	mu             sync.Mutex
	requestsPerKey map[string]int
	name           string
	host           string
	lastTicket     int
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/lookup":
		fmt.Fprintf(w, `{"version":1,"region":"r","ttl":10,"entries":[{"name":%q,"address":%q,"zone":"z"}]}`, f.name, f.host)
	case "/ticket":
		f.lastTicket++
		fmt.Fprintf(w, `{"tickets":["t-%d"],"ttl":3600}`, f.lastTicket)
	default:
		key := r.Header.Get("Idempotency-Key")
		f.requestsPerKey[key]++
		if f.requestsPerKey[key] == 1 {
			w.Header().Set("Verdict", "may-have-run")
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.Header().Set("Verdict", "ran")
	}
}

// Guards against a caller that uses a new idempotency key to retry an order that may have run.
func TestOrderIsRetriedWithTheSameKey(t *testing.T) {
	f := &fakeEntry{requestsPerKey: map[string]int{}, name: "e1"}
	server := httptest.NewServer(f)
	defer server.Close()
	f.host = server.Listener.Addr().String()
	c := caller.New(caller.Settings{
		Name: "c", Tenant: "t", Entries: []string{f.host}, Seed: 1, MaxAttempts: 4,
		Loads: []caller.Load{{Service: "gifts", Kind: caller.Order, Rate: 100, Timeout: time.Second}},
		Dial:  (&net.Dialer{}).DialContext,
		Path:  func(id string, _ caller.Load) string { return id },
	})
	arrivals, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer stop()
	c.Run(t.Context(), arrivals)
	records := c.Records()
	if len(records) == 0 {
		t.Fatal("no request was sent")
	}
	for _, r := range records {
		if len(r.Attempts) != 2 || r.Attempts[0].Key != r.Attempts[1].Key || r.LastAttempt().Verdict != "ran" {
			t.Errorf("attempts = %+v, want two with the same key", r.Attempts)
		}
	}
	if s := caller.Summarize(records)["gifts"]; s.Retried != len(records) || s.Ran != len(records) {
		t.Errorf("summary = %+v", s)
	}
}

// Guards against a caller that records a request as not sent because a retry by
// the transport found no listener, although the request ran the first time.
func TestLostResponseIsNotRecordedAsUnsent(t *testing.T) {
	f := &fakeEntry{requestsPerKey: map[string]int{}, name: "e1"}
	// The transport may send a read twice, so this holds the ids of the requests and not a count of runs.
	var ran sync.Map
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup" {
			f.ServeHTTP(w, r)
			return
		}
		ran.Store(path.Base(r.URL.Path), true)
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	f.host = server.Listener.Addr().String()
	c := caller.New(caller.Settings{
		Name: "c", Tenant: "t", Entries: []string{f.host}, Seed: 1, MaxAttempts: 1,
		Loads: []caller.Load{{Service: "status", Kind: caller.Read, Rate: 1000, Timeout: time.Second}},
		Dial:  (&net.Dialer{}).DialContext,
		Path:  func(id string, _ caller.Load) string { return id },
	})
	arrivals, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	c.Run(t.Context(), arrivals)
	lost := 0
	for _, r := range c.Records() {
		if _, ok := ran.Load(r.LastAttempt().ID); !ok {
			continue
		}
		lost++
		if r.LastAttempt().Verdict != "may-have-run" {
			t.Errorf("request %s ran and lost its response, but is recorded as %s", r.LastAttempt().ID, r.LastAttempt().Verdict)
		}
	}
	if lost == 0 {
		t.Error("no request ran")
	}
}

// Guards against an order that is recorded as not run because its retry reached
// no entry, although its first attempt ran and lost its response.
func TestUnreachedRetryOfAnOrderMayHaveRun(t *testing.T) {
	f := &fakeEntry{requestsPerKey: map[string]int{}, name: "e1"}
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			f.ServeHTTP(w, r)
			return
		}
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	f.host = server.Listener.Addr().String()
	c := caller.New(caller.Settings{
		Name: "c", Tenant: "t", Entries: []string{f.host}, Seed: 1, MaxAttempts: 3,
		Loads: []caller.Load{{Service: "gifts", Kind: caller.Order, Rate: 100, Timeout: time.Second}},
		Dial:  (&net.Dialer{}).DialContext,
		Path:  func(id string, _ caller.Load) string { return id },
	})
	arrivals, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	c.Run(t.Context(), arrivals)
	unreached := false
	for _, r := range c.Records() {
		lost := false
		for _, one := range r.Attempts {
			lost = lost || one.Reason == "lost"
			unreached = unreached || (lost && one.Reason == "unreached")
			if lost && one.Verdict == "not-run" {
				t.Errorf("attempts = %+v: not-run after a lost response", r.Attempts)
			}
		}
	}
	if !unreached {
		t.Error("no retry failed to reach an entry")
	}
}
