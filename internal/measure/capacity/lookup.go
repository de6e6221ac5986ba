package capacity

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/entry/gateway"
	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/fleet/block"
	"tamarackspool/internal/fleet/lookup"
	"tamarackspool/internal/fleet/member"
)

// LookupRole measures the time to answer a look-up in a fleet of the design size by the number of client blocks.
type LookupRole struct{}

// Name returns the name of the role.
func (LookupRole) Name() string { return "lookup" }

// Scale counts client blocks up to the design size.
func (LookupRole) Scale() Scale {
	return Scale{Unit: "client blocks", Sizes: []int{590_000, 2_400_000, DesignBlocks}, DesignSize: DesignBlocks}
}

// Measure answers look-ups in the process and over HTTP with the given number of client blocks.
func (LookupRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	all := clientBlocks(size)
	t, err := block.New(all)
	if err != nil {
		return nil, err
	}
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		clients[i] = all[i*7919%len(all)].Prefix().Addr()
	}
	d := newDirectory(DesignNodes, t)
	i := 0
	took := cpuTimePerCall(ctx, time.Second, func() {
		for range 1000 {
			_, err = d.Answer(lookup.Query{Service: "status", Client: clients[i%len(clients)]}, time.Now())
			i++
		}
	}) / 1000
	if err != nil {
		return nil, err
	}
	out := map[string]float64{"answer-µs": microseconds(took), "answers/s-per-core": 1 / took.Seconds()}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	for range 100_000 {
		at := time.Now()
		_, _ = d.Answer(lookup.Query{Service: "status", Client: clients[i%len(clients)]}, at)
		i++
		_ = h.RecordValue(time.Since(at).Nanoseconds()) // A value above the histogram's range is not recorded.
	}
	out["answer-p99-µs"] = float64(h.ValueAtQuantile(99)) / 1e3
	return out, measureHTTP(ctx, d, clients, out)
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// newDirectory returns a directory that holds a fleet of the given size.
func newDirectory(nodes int, b lookup.Blocks) *lookup.Directory {
	d := lookup.New(lookup.Settings{Entry: entryName(0), Zone: zoneName(0), Region: regionName(0), Seed: 1})
	d.Update(time.Now(), directoryInput(nodes, b))
	return d
}

func directoryInput(nodes int, b lookup.Blocks) lookup.Input {
	in := lookup.Input{Document: document.New(configFields(nodes)), Members: fleetMembers(nodes), Blocks: b}
	for _, m := range in.Members {
		for i, s := range services {
			in.FreeSlots = append(in.FreeSlots, member.NewFreeSlots(m.Name(), s, 1+i, time.Now()))
		}
	}
	return in
}

// measureHTTP measures look-ups over HTTP on loopback. The figures include the caller, which runs in the same process.
func measureHTTP(ctx context.Context, d *lookup.Directory, clients []netip.Addr, out map[string]float64) error {
	g := gateway.New(gateway.Dependencies{Entry: readyEntry{document.New(configFields(nodesToday))}, Directory: d, Name: entryName(0), LookupTTL: 10 * time.Second, Forward: http.NotFound})
	server := httptest.NewServer(g)
	defer server.Close()
	h := hdrhistogram.New(1, int64(time.Second), 3)
	i, lastErr := 0, error(nil)
	lookUp := func() {
		at := time.Now()
		resp, err := server.Client().Get(server.URL + "/lookup?service=status&client=" + clients[i%len(clients)].String())
		if err != nil {
			lastErr = err
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = h.RecordValue(time.Since(at).Nanoseconds())
		i++
	}
	took := cpuTimePerCall(ctx, 2*time.Second, lookUp)
	out["http-both-ends-µs"] = microseconds(took)
	out["http-p99-µs"] = float64(h.ValueAtQuantile(99)) / 1e3
	r := httptest.NewRequest(http.MethodGet, "/lookup?service=status&client="+clients[0].String(), nil)
	out["handler-µs"] = microseconds(cpuTimePerCall(ctx, time.Second, func() { g.ServeHTTP(httptest.NewRecorder(), r) }))
	return lastErr
}

// readyEntry is an entry that is ready to serve requests.
type readyEntry struct{ doc *document.Document }

// Document returns the configuration.
func (r readyEntry) Document() *document.Document { return r.doc }

// Ready reports true.
func (readyEntry) Ready() bool { return true }

// Leaving reports false.
func (readyEntry) Leaving() bool { return false }

// DirectoryRole measures the rebuild of the look-up table by the size of the fleet.
type DirectoryRole struct{}

// Name returns the name of the role.
func (DirectoryRole) Name() string { return "directory" }

// Scale counts entries.
func (DirectoryRole) Scale() Scale { return nodeScale(12, 48, 192, 400, DesignNodes) }

// Measure rebuilds the table of a fleet of the given size.
func (DirectoryRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	in := directoryInput(size, nil)
	before := heapBytes()
	d := newDirectory(size, nil)
	out := map[string]float64{"memory-MB": (heapBytes() - before) / 1e6}
	took := cpuTimePerCall(ctx, 300*time.Millisecond, func() { d.Update(time.Now(), in) })
	out["update-µs"] = microseconds(took)
	out["core-percent"] = 100 * ticksPerSecond * took.Seconds() / float64(node.LookupTicks(size))
	return out, nil
}
