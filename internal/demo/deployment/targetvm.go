package deployment

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarackspool/internal/demo/promise"
	"tamarackspool/internal/standin/target"
)

// The properties of the demo's targets: after a cold start a target takes three
// times as long for each of its first requests.
const (
	coldRequests = 20
	coldFactor   = 3
	workSpread   = 0.3
	connectCost  = time.Millisecond
)

// targetVM is a target VM that records the time interval of each request.
type targetVM struct {
	planned plannedTarget
	region  string
	// address is the target's address in the configuration.
	address   string
	target    *target.Target
	fault     atomic.Pointer[Fault]
	mu        sync.Mutex
	server    *http.Server
	listener  net.Listener
	intervals []promise.Run
}

func newTargetVM(s plannedTarget, region string, seed uint64, l net.Listener) *targetVM {
	m := &targetVM{planned: s, region: region, address: l.Addr().String(), listener: l, target: target.New(target.Settings{
		Name: s.name, Slots: s.service.slots, Seed: seed, MeanServiceTime: s.service.workTime, ServiceTimeSpread: workSpread,
		WarmUpRequests: coldRequests, ColdFactor: coldFactor, ConnSetupTime: connectCost,
	})}
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	return m
}

// serve serves requests until ctx is done or the server is closed.
func (m *targetVM) serve(ctx context.Context) error {
	m.mu.Lock()
	server, listener := m.server, m.listener
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP passes the request to the target and adds headers by which a caller
// verifies that the response belongs to its request.
func (m *targetVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" || strings.HasPrefix(r.URL.Path, "/attempt/") {
		m.target.ServeHTTP(w, r)
		return
	}
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := path.Base(r.URL.Path)
	w.Header().Set("Served-Id", id)
	w.Header().Set("Received", strconv.FormatInt(received, 10))
	r.Body, r.ContentLength = http.NoBody, 0
	response := &statusRecorder{ResponseWriter: w}
	interval := promise.Run{
		Target: m.planned.name, Service: m.planned.service.name, Region: m.region,
		ID: id, Key: r.Header.Get("Idempotency-Key"), Start: time.Now(),
	}
	if !m.applyFault(response, r) {
		m.target.ServeHTTP(response, r)
	}
	if response.status == http.StatusTooManyRequests {
		return
	}
	interval.End = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.intervals = append(m.intervals, interval)
}

// applyFault applies the fault that is set, if any, and reports whether it has
// written the response.
func (m *targetVM) applyFault(w *statusRecorder, r *http.Request) bool {
	f := m.fault.Load()
	if f == nil {
		return false
	}
	switch *f {
	case FaultLie:
		m.target.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("Shed", "1")
		w.ResponseWriter.WriteHeader(http.StatusTooManyRequests)
		return true
	case FaultMixed:
		w.Header().Set("Served-Id", "other")
	case FaultShort:
		r.URL.RawQuery = "size=1"
	}
	return false
}

// Intervals returns the time interval of each request that the target didn't shed.
func (m *targetVM) Intervals() []promise.Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]promise.Run(nil), m.intervals...)
}

// Runs returns the requests that the target itself recorded as run.
func (m *targetVM) Runs() []promise.Run {
	var all []promise.Run
	for _, r := range m.target.Runs() {
		all = append(all, promise.Run{
			Target: m.planned.name, Service: m.planned.service.name, Region: m.region,
			ID: path.Base(r.Path), Key: r.Key, Start: r.At,
		})
	}
	return all
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
