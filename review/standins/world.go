//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// world is the deployment of one case: the stand-ins, the entries and the record.
type world struct {
	dir      string // dir holds the logs of the entries.
	trouble  bool   // trouble is unset for the same play without the disruption.
	start    time.Time
	store    *store
	entries  []*entry
	workers  []*worker
	traffic  *traffic
	clients  sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File
}

func newWorld(folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	w := &world{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), traffic: &traffic{}, ctx: ctx, stop: cancel,
		record: bufio.NewWriter(f), file: f,
	}
	w.store = newStore(w.note)
	return w, nil
}

// note writes a line with its time to the record and to the standard output.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// at returns a time as seconds from the start.
func (w *world) at(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// write writes a line to the record only.
func (w *world) write(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, format+"\n", args...)
}

// addEntry adds a machine in a zone.
func (w *world) addEntry(name, zone string) error {
	e, err := newEntry(w.store, name, zone, w.dir)
	if err == nil {
		w.entries = append(w.entries, e)
	}
	return err
}

// addWorkers adds and registers workers of a service, one for each of the zones.
func (w *world) addWorkers(service string, slots int, work time.Duration, zones ...string) error {
	for i, z := range zones {
		o, err := newWorker(w.store, fmt.Sprintf("i-%s-%d", service, i+1), service, z, slots, work)
		if err != nil {
			return err
		}
		o.register("ready")
		w.workers = append(w.workers, o)
	}
	return nil
}

func (w *world) worker(id string) *worker {
	return w.workers[slices.IndexFunc(w.workers, func(o *worker) bool { return o.id == id })]
}

func (w *world) entry(name string) *entry {
	return w.entries[slices.IndexFunc(w.entries, func(e *entry) bool { return e.name == name })]
}

// startEntries starts all machines and waits until they are ready.
func (w *world) startEntries() error {
	configureEntries(w.entries)
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	w.note("%d entries are ready", len(w.entries))
	return nil
}

// startClients starts n clients in each zone.
func (w *world) startClients(n int, zones []string, make func(zone string) *client) {
	for i, z := range zones {
		for j := range n {
			c := make(z)
			w.clients.Go(func() { c.run(w.ctx, uint64(i*1000+j+1)) })
		}
	}
}

// close ends the clients and all processes, and writes what was sent, answered and run to the record.
func (w *world) close() {
	w.stop()
	w.clients.Wait()
	for _, e := range w.entries {
		<-e.signal(syscall.SIGKILL)
	}
	w.write("\nattempts of clients: sent at, entry, id, method, path, status (0: none), stamp, answered at")
	for _, a := range w.traffic.all() {
		w.write("%.3f %s %s %s %s %d %s %.3f", w.at(a.sent), a.entry, a.id, a.method, a.path, a.status, a.stamp, w.at(a.answered))
	}
	w.write("\narrivals at workers: at, worker, service, id, method, path, run, answer ready at (0: broken off or not run)")
	for _, o := range w.workers {
		for _, a := range o.seen() {
			done := 0.0
			if !a.done.IsZero() {
				done = w.at(a.done)
			}
			w.write("%.3f %s %s %s %s %s %v %.3f", w.at(a.at), a.worker, a.service, a.id, a.method, a.path, a.run, done)
		}
	}
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     float64
}

// configuration returns a configuration in the form of the platform's pages.
func configuration(version int, routes []route, services ...string) []byte {
	var resources []any
	add := func(kind string, metadata, spec object) {
		resources = append(resources, object{"resourceKind": kind, "metadata": metadata, "spec": spec})
	}
	for _, r := range routes {
		add("routes", object{"name": r.name}, object{
			"host": host, "prefix": r.prefix, "kind": r.kind, "timeoutS": r.timeout, "targetLatencyS": 0.8, "priority": 1,
			"service": r.service, "maxAttempts": 2, "sticky": true, "homeRegions": []string{},
		})
	}
	for _, s := range services {
		add("services", object{"name": s}, object{"healthPath": "/healthz", "maxConns": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 3.6})
	}
	add("limits", object{}, object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15})
	data, err := json.Marshal(object{"version": fmt.Sprintf("%08x", version), "baseVersion": fmt.Sprintf("%08x", version-1), "resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}
