//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that reached a worker.
type arrival struct {
	id, worker, service, method, path string
	at                                time.Time
	run                               bool      // run is set when the worker began to work on the request.
	done                              time.Time // done is when the worker had its answer; zero if it was broken off.
}

// worker is a stand-in for a worker of a service.
type worker struct {
	id, service, zone string
	slots             int
	work              time.Duration
	workOn            func(path string) time.Duration // workOn returns how long a request takes; nil for work.
	address           string
	born              int64
	store             *store
	server            *http.Server
	slot              chan struct{}

	mu       sync.Mutex
	waiting  int
	arrivals []arrival
}

// newWorker starts a worker; register makes it known.
func newWorker(s *store, id, service, zone string, slots int, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, slots: slots, work: work, address: l.Addr().String(), born: time.Now().UnixMilli(), store: s,
		slot: make(chan struct{}, slots),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() {
		if err := w.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return w, nil
}

// register writes the worker's entry to the store.
func (w *worker) register(state string) time.Time {
	data, err := json.Marshal(object{
		"address": w.address, "born": w.born,
		"info":   object{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": object{"state": state, "sequence": 1, "coldLeftS": 0.0},
	})
	if err != nil {
		panic(err)
	}
	return w.store.set("servers/"+w.id, data)
}

// deregister removes the worker's entry from the store; the worker goes on serving.
func (w *worker) deregister() time.Time { return w.store.remove("servers/" + w.id) }

// exit ends the worker.
func (w *worker) exit() { _ = w.server.Close() }

func (w *worker) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// ServeHTTP handles one request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		w.count(r, false)
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	if !w.takeSlot(ctx) {
		w.count(r, false)
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("X-Server-Load", w.load())
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slot }()
	if r.URL.Path == "/healthz" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("X-Server-Load", w.load())
		return
	}
	run := w.count(r, true)
	work := w.work
	if w.workOn != nil {
		work = w.workOn(r.URL.Path)
	}
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		w.finish(run)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		w.answer(rw, r, http.StatusGatewayTimeout, "")
		return
	}
	w.answer(rw, r, http.StatusOK, w.id+" "+r.Method+" "+r.RequestURI+" "+strconv.Itoa(len(body)))
}

func (w *worker) answer(rw http.ResponseWriter, r *http.Request, status int, body string) {
	h := rw.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Stamp", w.id)
	h.Set("X-Server-Load", w.load())
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body)
}

// takeSlot waits for a slot; false when the queue is full or the time has passed.
func (w *worker) takeSlot(ctx context.Context) bool {
	w.mu.Lock()
	if len(w.slot) == cap(w.slot) && w.waiting >= 3*w.slots {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.waiting--
	}()
	select {
	case w.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(w.slot), w.waiting, w.slots)
}

// finish records that the worker has the answer to its arrival with the index.
func (w *worker) finish(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[index].done = time.Now()
}

// count records an arrival and returns its index.
func (w *worker) count(r *http.Request, run bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{
		id: r.Header.Get("X-Request-Id"), worker: w.id, service: w.service, method: r.Method, path: r.RequestURI, at: time.Now(), run: run,
	})
	return len(w.arrivals) - 1
}
