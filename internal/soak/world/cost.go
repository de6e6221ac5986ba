package world

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarackspool/platform/platformtest"
)

// churnPerSecond is the fraction of the registrations that changes each second while the
// cost of changes is measured.
const churnPerSecond = 0.01

// Cost is the cost of the control plane at the entries, measured without any requests of callers.
type Cost struct {
	Entries, Targets int
	ChangesPerSecond float64 // ChangesPerSecond is the number of changed registrations per second.
	Rows             []CostRow
}

// CostRow is one metric over all entries: its sum, median and maximum.
type CostRow struct {
	Name             string
	Sum, Median, Max float64
}

// metricValues holds the metrics of one entry by name.
type metricValues map[string]float64

// rateRows lists the rows that are rates, each with the counters that it sums.
var rateRows = []struct {
	name    string
	metrics []string
}{
	{"calls to the store, 1/s", []string{"store.calls"}},
	{"renewals, 1/s", []string{"store.renewals"}},
	{"store, B/s", []string{"store.received", "store.sent"}},
	{"other entries, B/s", []string{"peer.received", "peer.sent"}},
	{"processor, %", []string{"cpu"}},
}

// MeasureCost starts the entries, waits for half of the soak's duration and returns the cost of the control
// plane first without and then with changes of registrations. All processes have ended when it returns.
func (w *World) MeasureCost(ctx context.Context) ([]Cost, error) {
	defer w.close()
	register := func(i, generation int) {
		service := []string{"s1", "s2", "s3"}[i%3]
		t := platformtest.Target{
			ID: fmt.Sprintf("x%d-%d", i, generation), Service: service, Zone: zoneNames[i%len(zoneNames)], Slots: 6,
			StartedMillis: int64(generation), Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
		}
		t.Register(w.store, "ready", 0)
	}
	for i := range w.s.Targets {
		register(i, 0)
	}
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	if err := w.awaitEntries(ctx); err != nil {
		return nil, err
	}
	if !pause(ctx, w.s.Duration/2) {
		return nil, ctx.Err()
	}
	var costs []Cost
	for _, rate := range []float64{0, churnPerSecond * float64(w.s.Targets)} {
		c, err := w.measureCost(ctx, rate, register)
		if err != nil {
			return nil, err
		}
		costs = append(costs, c)
	}
	return costs, nil
}

// measureCost measures for half of the soak's duration while registrations change at the rate per second.
// A replaced registration counts as two changes.
func (w *World) measureCost(ctx context.Context, rate float64, register func(i, generation int)) (Cost, error) {
	before, err := w.readMetrics(ctx)
	if err != nil {
		return Cost{}, err
	}
	start := time.Now()
	changes := 0
	for end := start.Add(w.s.Duration / 2); time.Now().Before(end) && ctx.Err() == nil; {
		for due := int(rate * time.Since(start).Seconds()); changes+1 < due; changes += 2 {
			i, generation := changes/2%w.s.Targets, changes/2/w.s.Targets
			w.store.Remove(fmt.Sprintf("servers/x%d-%d", i, generation))
			register(i, generation+1)
		}
		pause(ctx, 20*time.Millisecond)
	}
	seconds := time.Since(start).Seconds()
	after, err := w.readMetrics(ctx)
	if err != nil {
		return Cost{}, err
	}
	c := Cost{Entries: w.s.Entries, Targets: w.s.Targets, ChangesPerSecond: float64(changes) / seconds}
	for _, g := range rateRows {
		var values []float64
		for i := range after {
			v := 0.0
			for _, m := range g.metrics {
				v += (after[i][m] - before[i][m]) / seconds
			}
			values = append(values, v)
		}
		c.Rows = append(c.Rows, newRow(g.name, values))
	}
	var memory []float64
	for _, a := range after {
		memory = append(memory, a["memory"])
	}
	c.Rows = append(c.Rows, newRow("memory, MB", memory))
	return c, ctx.Err()
}

func newRow(name string, values []float64) CostRow {
	slices.Sort(values)
	r := CostRow{Name: name, Median: values[len(values)/2], Max: values[len(values)-1]}
	for _, v := range values {
		r.Sum += v
	}
	return r
}

// readMetrics returns the metrics of every entry.
func (w *World) readMetrics(ctx context.Context) ([]metricValues, error) {
	var all []metricValues
	for _, e := range w.entries {
		f, err := e.readMetrics(ctx)
		if err != nil {
			return nil, fmt.Errorf("world: %s: %w", e.name, err)
		}
		all = append(all, f)
	}
	return all, nil
}

// ticksPerSecond is the number of clock ticks per second, the unit in which /proc reports processor time.
const ticksPerSecond = 100

// readMetrics returns the entry's metrics, its processor time in hundredths of a
// second ("cpu") and its resident memory in MB ("memory").
func (e *entry) readMetrics(ctx context.Context) (metricValues, error) {
	e.mu.Lock()
	address, pid := e.metrics, e.cmd.Process.Pid
	e.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the response has been read
	f := make(metricValues)
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, _ := strings.Cut(s.Text(), " ")
		if f[name], err = strconv.ParseFloat(value, 64); err != nil {
			return nil, err
		}
	}
	if f["cpu"], err = cpuTicks(pid); err != nil {
		return nil, err
	}
	f["cpu"] *= 100 / ticksPerSecond
	f["memory"], err = residentMB(pid)
	return f, err
}

// cpuTicks returns the processor time of a process in clock ticks.
func cpuTicks(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may contain spaces.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return math.NaN(), fmt.Errorf("world: process %d: /proc stat has no processor times", pid)
	}
	u, err := strconv.ParseFloat(fields[user], 64)
	if err != nil {
		return 0, err
	}
	s, err := strconv.ParseFloat(fields[system], 64)
	return u + s, err
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("world: process %d: /proc statm has no resident size", pid)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6, err
}
