package console_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/current"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/entry/console"
	"tamarackspool/internal/entry/operator"
	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/standin/raw"
	standin "tamarackspool/internal/standin/store"
)

// Guards against goroutines that outlive the API and its clients.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const token = "0123456789abcdef"

// fakeNode is the operators' API of one entry with an in-process store.
type fakeNode struct {
	store     *standin.Server
	current   *current.Current
	status    operator.Status
	announced int
	now       time.Time
	url       string
	logOutput bytes.Buffer
}

func (n *fakeNode) Status() operator.Status  { return n.status }
func (n *fakeNode) Announce(context.Context) { n.announced++ }

func start(t *testing.T) *fakeNode {
	t.Helper()
	n := &fakeNode{store: standin.New(standin.Settings{}), current: current.New(), now: time.Now()}
	h := history.New(history.Settings{Store: store.New("http://store", "", &http.Client{Transport: n.store.Transport()})})
	data, err := os.ReadFile("../../../examples/letters.json")
	if err != nil {
		t.Fatal(err)
	}
	r, err := h.Create(t.Context(), data, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.current.Adopt(r.Version(), r.Hash(), r.Data()); err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(7)
	api, err := operator.New(token, operator.Dependencies{
		Configuration: n.current, History: h, Reporter: n, Announcer: n, Metrics: registry,
		Log: event.New(log.NewLogfmtLogger(&n.logOutput)), Now: func() time.Time { return n.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	n.url = server.URL
	return n
}

func (n *fakeNode) console(out *bytes.Buffer, bases ...string) *console.Console {
	return &console.Console{
		Client: console.NewClient(append(bases, n.url), token, nil), Out: out,
		// Each poll advances the time by 1 s and finishes three requests in flight.
		Wait: func(context.Context, time.Duration) error {
			n.now = n.now.Add(time.Second)
			n.status.Targets[0].Busy = max(0, n.status.Targets[0].Busy-3)
			n.status.Targets[0].Leaving = true
			return nil
		},
	}
}

func exitCode(err error) int {
	if f, ok := errors.AsType[*console.Failure](err); ok {
		return f.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// Guards against an exit code that does not match the outcome, and against an accepted patch that is not
// adopted and announced before the response.
func TestPatchCodes(t *testing.T) {
	n := start(t)
	var out bytes.Buffer
	c := n.console(&out)
	patch := []byte(`[{"op":"replace","path":"/regions/0/keep","value":0.2}]`)
	ch := console.Change{Base: 1, ID: "a", Who: "ayla"}
	if err := c.Patch(t.Context(), ch, patch, nil); exitCode(err) != 0 || n.announced != 1 || n.current.Document().Version() != 2 {
		t.Errorf("applied: %v; announced %d times", err, n.announced)
	}
	if err := c.Patch(t.Context(), ch, patch, nil); exitCode(err) != 0 || n.announced != 1 {
		t.Errorf("repeated: %v; announced %d times", err, n.announced)
	}
	if err := c.Patch(t.Context(), console.Change{Base: 1, ID: "b", Who: "ayla"}, patch, nil); exitCode(err) != console.CodeRefused {
		t.Errorf("outdated: %v", err)
	}
	if err := c.Patch(t.Context(), console.Change{ID: "c"}, patch, nil); exitCode(err) != console.CodeInput {
		t.Errorf("no author: %v", err)
	}
	n.store.SetDown(true)
	if err := c.Patch(t.Context(), console.Change{ID: "d", Who: "ayla"}, patch, nil); exitCode(err) != console.CodeUnavailable {
		t.Errorf("store down: %v", err)
	}
	n.store.SetDown(false)
	if err := c.Audit(t.Context(), 0); err != nil || !strings.Contains(out.String(), "refused on 1") {
		t.Errorf("audit: %v\n%s", err, out.String())
	}
}

// Guards against an unknown outcome reported as a failure, and against a patch applied twice through another entry.
func TestLostResponse(t *testing.T) {
	n := start(t)
	aborting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer aborting.Close()
	var out bytes.Buffer
	patch := []byte(`[{"op":"replace","path":"/regions/0/keep","value":0.2}]`)
	alone := &console.Console{Client: console.NewClient([]string{aborting.URL}, token, nil), Out: &out}
	if err := alone.Patch(t.Context(), console.Change{Base: 1, ID: "a", Who: "ayla"}, patch, nil); exitCode(err) != console.CodeUnknown {
		t.Errorf("one entry: %v", err)
	}
	if err := n.console(&out, aborting.URL).Patch(t.Context(), console.Change{Base: 1, ID: "a", Who: "ayla"}, patch, nil); exitCode(err) != 0 {
		t.Errorf("second entry: %v", err)
	}
}

// Guards against a patch that passes for applied, or for failed, by a response whose head is invalid.
func TestInvalidHeadLeavesTheOutcomeOfAPatchUnknown(t *testing.T) {
	patch := []byte(`[{"op":"replace","path":"/regions/0/keep","value":0.2}]`)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n", "HTTP/1.1 409 Conflict\r\nBad : x\r\n",
		"HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 000 Trouble\r\n",
	} {
		s := raw.NewServer(head + "Content-Length: 13\r\n\r\n" + `{"version":2}`)
		transport := &http.Transport{}
		var out bytes.Buffer
		c := &console.Console{Client: console.NewClient([]string{s.URL}, token, &http.Client{Transport: transport}), Out: &out}
		if err := c.Patch(t.Context(), console.Change{Base: 1, ID: "a", Who: "ayla"}, patch, nil); exitCode(err) != console.CodeUnknown || !strings.Contains(err.Error(), "invalid head") {
			t.Errorf("%q: %v", head, err)
		}
		transport.CloseIdleConnections()
		s.Close()
	}
}

// Guards against a drain command that ends while the owners still have requests in flight.
func TestDrainFollow(t *testing.T) {
	n := start(t)
	n.status = operator.Status{
		Entry: "ege-a-1", Region: "ege", Version: 2, Regions: []operator.Region{{Name: "ege"}},
		ConfiguredTargets: []operator.Target{{Name: "status-1", Region: "ege"}},
		Targets:           []operator.Target{{Name: "status-1", Region: "ege", Owned: true, Busy: 6, Limit: 6}},
		// The local view of the queried entry is quiet, which must not end the command.
		Drains: []operator.Drain{{Name: "weekly", Active: true, Quiet: true, Targets: []string{"status-1"}}},
	}
	var out bytes.Buffer
	err := n.console(&out).Drain(t.Context(), console.Change{Who: "ayla"}, console.Drain{Name: "weekly", Zone: "ege-a", Follow: true})
	if err != nil || !strings.Contains(out.String(), "6 in flight") || !strings.Contains(out.String(), "3 in flight") || !strings.Contains(out.String(), "quiet") {
		t.Errorf("drain: %v\n%s", err, out.String())
	}
	if leaving := n.current.Document().DrainedTargets(time.Now()); len(leaving) == 0 {
		t.Error("the drain is not in force")
	}
	err = n.console(&out).Drain(t.Context(), console.Change{Who: "ayla"}, console.Drain{Name: "all", Region: "ege"})
	if exitCode(err) != console.CodeRefused || !strings.Contains(err.Error(), "leaves region ege 0 of 30 slots") {
		t.Errorf("drain of a region: %v", err)
	}
}

// Guards against tables or JSON that omit values of the API's response.
func TestPrint(t *testing.T) {
	n := start(t)
	n.status = operator.Status{
		Entry: "ege-a-1", Region: "ege", Version: 1, VMListAge: 1500 * time.Millisecond,
		ConfiguredTargets: []operator.Target{{Name: "status-2", Service: "status", Region: "ege", Slots: 6}},
		Targets:           []operator.Target{{Name: "status-2", Service: "status", Region: "ege", Owned: true, Busy: 2, Limit: 5, Slots: 6}},
		Regions:           []operator.Region{{Name: "ege", Free: 4}},
		Links:             []operator.Link{{From: "ege", To: "marmara", Used: 1, Share: 62_500_000}},
		Members:           []operator.Member{{Name: "ege-b-1", Zone: "ege-b", Region: "ege", State: "suspect", Version: 1}},
	}
	var table, plain, config bytes.Buffer
	if err := n.console(&table).Status(t.Context()); err != nil {
		t.Error(err)
	}
	for _, want := range []string{"status-2", "ege-marmara", "62500000", "suspect", "1.5 s", "no: "} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
	c := n.console(&plain)
	c.JSON = true
	if err := c.Status(t.Context()); err != nil || !json.Valid(plain.Bytes()) || !strings.Contains(plain.String(), `"share":62500000`) {
		t.Errorf("status as JSON: %v\n%s", err, plain.String())
	}
	if err := n.console(&config).Config(t.Context()); err != nil {
		t.Error(err)
	}
	if d, err := codec.Decode(config.Bytes()); err != nil || d.Version() != 1 {
		t.Errorf("printed configuration: %v", err)
	}
}

// Guards against a call that is accepted without the token, and against a token in the log.
func TestToken(t *testing.T) {
	n := start(t)
	for _, path := range []string{"/config", "/status", "/audit", "/metrics", "/none"} {
		for given, want := range map[string]int{token: http.StatusOK, "wrong-" + token: http.StatusUnauthorized, "": http.StatusUnauthorized} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.url+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+given)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if path == "/none" && given == token {
				want = http.StatusNotFound
			}
			if resp.StatusCode != want {
				t.Errorf("GET %s with token %q: status %d, want %d", path, given, resp.StatusCode, want)
			}
		}
	}
	if strings.Contains(n.logOutput.String(), token) {
		t.Error("the log contains a token")
	}
	if _, err := operator.New("short", operator.Dependencies{}); err == nil {
		t.Error("a short token was accepted")
	}
}

// Guards against a body with a misspelt field, or a body that is not JSON, being accepted as a patch.
func TestBadBody(t *testing.T) {
	n := start(t)
	for body, want := range map[string]int{
		`{"base":1,"id":"a","who":"ayla","pach":[]}`: http.StatusBadRequest,
		`patch`: http.StatusBadRequest,
		`{"base":1,"id":"a","who":"ayla","patch":[]}`:                       http.StatusConflict,
		`{"base":1,"id":"","who":"ayla","patch":[]}`:                        http.StatusConflict,
		`{"why":"` + strings.Repeat("x", 17<<20) + `"}`:                     http.StatusRequestEntityTooLarge,
		`{"base":1,"id":"a","who":"ayla","patch":[{"op":"test"}],"why":""}`: http.StatusConflict,
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.url+"/patch", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("POST /patch %.60s: status %d, want %d", body, resp.StatusCode, want)
		}
	}
	if n.current.Document().Version() != 1 {
		t.Error("a bad body changed the configuration")
	}
}
