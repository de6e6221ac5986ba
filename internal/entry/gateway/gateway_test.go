package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/entry/gateway"
	"tamarackspool/internal/fleet/lookup"
	"tamarackspool/internal/request/verdict"
)

// entry is a fake of all dependencies with a state that the test sets.
type entry struct{ ready, leaving bool }

func (e *entry) Ready() bool   { return e.ready }
func (e *entry) Leaving() bool { return e.leaving }

func (e *entry) Document() *document.Document {
	return document.New(document.Fields{
		Services: []document.Service{
			document.NewService(document.ServiceFields{Name: "status"}),
			document.NewService(document.ServiceFields{Name: "gifts", AtMostOnce: true}),
		},
		Tenants: []document.Tenant{
			document.NewTenant("parents", "", nil),
			// The digest is that of the key "secret".
			document.NewTenant("teachers", "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", nil),
			document.NewTenant("readers", "", []string{"status"}),
		},
	})
}

// Answer rejects every look-up, as an entry without a live peer does.
func (e *entry) Answer(lookup.Query, time.Time) (lookup.Answer, error) {
	return lookup.Answer{}, verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, http.StatusServiceUnavailable, nil).WithRetryAfter(time.Second)
}

// Issue returns the requested number of empty tickets.
func (e *entry) Issue(_, _ string, count int, _ time.Time) []string { return make([]string, count) }

func serve(e *entry, method, path string, header http.Header) *http.Response {
	g := gateway.New(gateway.Dependencies{
		Entry: e, Directory: e, Issuer: e, Name: "e1", LookupTTL: 10 * time.Second,
		Forward: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) },
	})
	r := httptest.NewRequest(method, path, nil)
	r.Header = header
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w.Result()
}

// Guards against tickets for an unauthorized tenant, for a service without tickets or above the limit, and
// against a rejection without a verdict, which callers would have to treat as may-have-run.
func TestTicketRefusals(t *testing.T) {
	for _, c := range []struct {
		path        string
		tenant, key string
		leaving     bool
		status      int
	}{
		{"/ticket?service=gifts&count=100", "parents", "", false, http.StatusOK},
		{"/ticket?service=gifts", "teachers", "secret", false, http.StatusOK},
		{"/ticket?service=gifts", "teachers", "wrong", false, http.StatusForbidden},
		{"/ticket?service=gifts", "strangers", "", false, http.StatusUnauthorized},
		{"/ticket?service=gifts", "readers", "", false, http.StatusForbidden},
		{"/ticket?service=gifts&count=101", "parents", "", false, http.StatusBadRequest},
		{"/ticket?service=gifts&count=x", "parents", "", false, http.StatusBadRequest},
		{"/ticket?service=status", "parents", "", false, http.StatusBadRequest},
		{"/ticket?service=none", "parents", "", false, http.StatusNotFound},
		{"/ticket?service=gifts", "parents", "", true, http.StatusServiceUnavailable},
	} {
		header := http.Header{"Tenant": {c.tenant}, "Tenant-Key": {c.key}}
		got := serve(&entry{ready: true, leaving: c.leaving}, http.MethodPost, c.path, header)
		if got.StatusCode != c.status {
			t.Errorf("%s by %s: status %d, want %d", c.path, c.tenant, got.StatusCode, c.status)
		}
		if c.status != http.StatusOK && got.Header.Get("Verdict") != "not-run" {
			t.Errorf("%s by %s: verdict %q, want not-run", c.path, c.tenant, got.Header.Get("Verdict"))
		}
	}
}

// Guards against an entry that has no configuration and responds with anything other than 503 not-run.
func TestNotReady(t *testing.T) {
	for method, path := range map[string]string{http.MethodGet: "/lookup?service=status", http.MethodPost: "/ticket?service=gifts"} {
		got := serve(&entry{}, method, path, http.Header{})
		if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Verdict") != "not-run" || got.Header.Get("Reason") != "isolated" {
			t.Errorf("%s: status %d, header %v", path, got.StatusCode, got.Header)
		}
	}
	if got := serve(&entry{ready: true, leaving: true}, http.MethodGet, "/healthz", nil); got.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("health of a leaving entry: status %d", got.StatusCode)
	}
}

// Guards against a look-up with a malformed client address that is answered for another address, a
// rejection without its Retry-After header, and a response with a wrong number of tickets.
func TestLookupRefusals(t *testing.T) {
	if got := serve(&entry{ready: true}, http.MethodGet, "/lookup?service=status&client=x", nil); got.StatusCode != http.StatusBadRequest {
		t.Errorf("malformed client: status %d", got.StatusCode)
	}
	got := serve(&entry{ready: true}, http.MethodGet, "/lookup?service=status", nil)
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") != "1" {
		t.Errorf("rejected request: status %d, header %v", got.StatusCode, got.Header)
	}
	var out struct{ Tickets []string }
	count := serve(&entry{ready: true}, http.MethodPost, "/ticket?service=gifts&count=7", http.Header{"Tenant": {"parents"}})
	if json.NewDecoder(count.Body).Decode(&out) != nil || len(out.Tickets) != 7 {
		t.Errorf("%d tickets, want 7", len(out.Tickets))
	}
}
