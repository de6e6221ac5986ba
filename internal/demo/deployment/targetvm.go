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

// The properties of the demo's targets: a cold one takes three times as long
// for its first requests.
const (
	coldRequests = 20
	coldFactor   = 3
	spread       = 0.3
	connectCost  = time.Millisecond
)

// targetVM is a target VM with a record of when each request was there.
type targetVM struct {
	spot   spot
	region string
	// address is where the configuration says that the target listens.
	address string
	target  *target.Target
	fault   atomic.Pointer[Fault]
	mu      sync.Mutex
	server  *http.Server
	listen  net.Listener
	stays   []promise.Run
}

func newTargetVM(s spot, region string, seed uint64, l net.Listener) *targetVM {
	m := &targetVM{spot: s, region: region, address: l.Addr().String(), listen: l, target: target.New(target.Settings{
		Name: s.name, Slots: s.service.slots, Seed: seed, Mean: s.service.work, Spread: spread,
		Cold: coldRequests, ColdFactor: coldFactor, Open: connectCost,
	})}
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	return m
}

// serve answers until ctx ends.
func (m *targetVM) serve(ctx context.Context) error {
	m.mu.Lock()
	server, listen := m.server, m.listen
	m.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listen); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP adds to the target's answer by what a caller knows it as its own.
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
	answer := &watched{ResponseWriter: w}
	stay := promise.Run{
		Target: m.spot.name, Service: m.spot.service.name, Region: m.region,
		ID: id, Key: r.Header.Get("Idempotency-Key"), Start: time.Now(),
	}
	if !m.misbehave(answer, r) {
		m.target.ServeHTTP(answer, r)
	}
	if answer.status == http.StatusTooManyRequests {
		return
	}
	stay.End = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stays = append(m.stays, stay)
}

// misbehave answers falsely when a fault is set and reports whether it did.
func (m *targetVM) misbehave(w *watched, r *http.Request) bool {
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

// Stays returns when each answered request was at the target.
func (m *targetVM) Stays() []promise.Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]promise.Run(nil), m.stays...)
}

// Runs returns the target's own record of what it ran.
func (m *targetVM) Runs() []promise.Run {
	var all []promise.Run
	for _, r := range m.target.Runs() {
		all = append(all, promise.Run{
			Target: m.spot.name, Service: m.spot.service.name, Region: m.region,
			ID: path.Base(r.Path), Key: r.Key, Start: r.At,
		})
	}
	return all
}

// watched remembers the status of an answer.
type watched struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (w *watched) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *watched) Unwrap() http.ResponseWriter { return w.ResponseWriter }
