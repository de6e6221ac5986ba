package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/internal/soak/proxy"
	"tamarackspool/platform/platformtest"
)

// zones holds the region of each availability zone.
var zones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

var zoneNames = []string{"a1", "b1", "a2", "b2"}

func zoneList() string {
	var list []string
	for _, z := range zoneNames {
		list = append(list, z+"="+zones[z])
	}
	return strings.Join(list, ",")
}

// storePageSize is the number of items in a page of the platform's store.
const storePageSize = 500

// World is one soak with its processes and stand-ins.
type World struct {
	s      Settings
	random *rand.Rand
	ledger *ledger.Ledger
	store  *platformtest.Store
	server *http.Server

	mu      sync.Mutex
	entries []*entry
	targets []*target

	version       int
	movingService string // movingService is the current service of the moving rule, whose service the configuration changes.
	targetCount   int    // targetCount is the number of targets created.
	steps         int    // steps is the number of steps played.
}

// New returns a world whose store and targets are running. Run and MeasureCost start the entries.
func New(s Settings) (*World, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &World{
		s: s, random: rand.New(rand.NewPCG(s.Seed, 0x736f616b)), ledger: ledger.New(), store: platformtest.NewStore(), movingService: "s1",
	}
	w.store.SetPageSize(storePageSize)
	w.store.SetEra(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := w.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("world: store: %v", err))
		}
	}()
	for i := range s.Entries {
		p, err := proxy.New(l.Addr().String())
		if err != nil {
			return nil, err
		}
		e := &entry{name: fmt.Sprint("e", i), zone: zoneNames[i%len(zoneNames)], store: p, program: s.Program, seeds: w.seeds}
		if s.BreakPromise == string(ledger.Repeats) {
			e.flags = []string{"--repeat-ratio", "1"}
		}
		w.entries = append(w.entries, e)
	}
	for i := range 3 * len(zoneNames) {
		if err := w.add([]string{"s1", "s2", "s3"}[i%3], zoneNames[i%len(zoneNames)]); err != nil {
			return nil, err
		}
	}
	w.configure(w.movingService)
	return w, nil
}

// add starts and registers one more target.
func (w *World) add(service, zone string) error {
	w.targetCount++
	t, err := newTarget(fmt.Sprint("t", w.targetCount), service, zone, int64(w.targetCount))
	if err != nil {
		return err
	}
	t.Mute = w.s.BreakPromise == string(ledger.Leave) || w.s.BreakPromise == string(ledger.Pause)
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
	t.Register(w.store, "ready", 0)
	return nil
}

// configure writes the next version of the configuration, in which the service runs the moving rule.
func (w *World) configure(service string) {
	w.version += 1 + w.random.IntN(3)
	w.writeVersion(service)
}

// writeVersion writes the configuration of the current version, in which the service runs the moving rule.
func (w *World) writeVersion(service string) {
	w.movingService = service
	w.ledger.AddVersion(service, time.Now())
	if w.s.BreakPromise == string(ledger.Version) && w.version > 5 {
		return
	}
	w.writeConfiguration()
}

// writeConfiguration writes the configuration of the current version.
func (w *World) writeConfiguration() {
	w.store.Configure(w.version, []platformtest.Rule{
		{Prefix: "/r/", Kind: "safe", Service: "s1", Timeout: 3 * time.Second},
		{Prefix: movingPrefix, Kind: "safe", Service: w.movingService, Timeout: 3 * time.Second},
		{Prefix: "/o/", Kind: "unsafe", Service: "s2", Timeout: 3 * time.Second},
		{Prefix: "/u/", Kind: "upload", Service: "s3", Timeout: 3 * time.Second},
	}, []string{"s1", "s2", "s3"})
}

// seeds returns the addresses of up to three running entries.
func (w *World) seeds() []string {
	var list []string
	for _, e := range w.entries {
		if _, _, peer := e.addresses(); peer != "" && len(list) < 3 {
			list = append(list, peer)
		}
	}
	return list
}

// directory returns the look-up address of a random entry; empty until the entry has logged it.
func (w *World) directory(r *rand.Rand) string {
	_, directory, _ := w.entries[r.IntN(len(w.entries))].addresses()
	return directory
}

// settleTime is the time from the first requests to the first step of the schedule.
const settleTime = 3 * time.Second

// recoveryTime is the time from the last step to the end, in which callers must be served again.
const recoveryTime = 12 * time.Second

// Run runs the soak and returns its report. All processes have ended when it returns.
func (w *World) Run(ctx context.Context) (Report, error) {
	defer w.close()
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return Report{}, err
		}
	}
	if err := w.awaitEntries(ctx); err != nil {
		return Report{}, err
	}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var callersDone sync.WaitGroup
	for i := range min(4*w.s.Entries, 120) {
		c := &caller{w: w, number: i, random: rand.New(rand.NewPCG(w.s.Seed, uint64(i)+1)), client: &http.Client{Transport: &http.Transport{}}}
		callersDone.Go(func() { c.run(callers) })
	}
	pause(ctx, settleTime)
	w.breakPromise()
	w.runSchedule(ctx)
	pause(ctx, recoveryTime)
	stop()
	callersDone.Wait()
	return w.report(), ctx.Err()
}

// awaitEntries waits until every entry has logged its listen addresses.
func (w *World) awaitEntries(ctx context.Context) error {
	for range 300 {
		ready := true
		for _, e := range w.entries {
			call, _, _ := e.addresses()
			ready = ready && call != ""
		}
		if ready {
			return nil
		}
		if !pause(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.New("world: the entries did not start within 30 s")
}

// pause waits for the duration and reports false when ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// maxShown is the number of broken promises whose log lines the report contains.
const maxShown = 3

func (w *World) report() Report {
	var runs []ledger.Run
	var arrivals []ledger.Arrival
	for _, t := range w.targets {
		runs = append(runs, t.runs()...)
		arrivals = append(arrivals, t.arrivals()...)
		t.addAnnouncements(w.ledger)
	}
	r := Report{Runs: len(runs), Steps: w.steps, Violations: w.ledger.Check(runs, arrivals)}
	r.Requests, r.Served = w.ledger.AttemptCounts()
	for _, b := range r.Violations[:min(len(r.Violations), maxShown)] {
		if b.ID == "" {
			continue
		}
		for _, e := range w.entries {
			r.Lines = append(r.Lines, e.grep("id="+b.ID+" ")...)
		}
	}
	return r
}

func (w *World) close() {
	for _, e := range w.entries {
		if e.cmd != nil {
			e.signal(syscall.SIGCONT)
			<-e.signal(os.Kill)
		}
		e.store.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, t := range w.targets {
		t.close(ctx)
	}
	_ = w.server.Close()
	w.store.Close()
}

// Running returns the number of entries whose process is running.
func (w *World) Running() int {
	n := 0
	for _, e := range w.entries {
		select {
		case <-e.exited:
		default:
			n++
		}
	}
	return n
}

// note counts a step of the schedule and writes a line about it.
func (w *World) note(format string, args ...any) {
	w.steps++
	if w.s.ScheduleLog != nil {
		_, _ = fmt.Fprintf(w.s.ScheduleLog, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
}

// live returns the targets that aren't draining.
func (w *World) live() []*target {
	return slices.DeleteFunc(slices.Clone(w.targets), func(t *target) bool { return t.draining })
}
