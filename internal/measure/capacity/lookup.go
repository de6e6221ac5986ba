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

// Lookup measures the answer to a look-up in a fleet of the design size against the number of client blocks.
type Lookup struct{}

// Name returns the name of the role.
func (Lookup) Name() string { return "lookup" }

// Scale counts client blocks up to the design size.
func (Lookup) Scale() Scale {
	return Scale{Unit: "client blocks", Sizes: []int{590_000, 2_400_000, DesignBlocks}, Design: DesignBlocks}
}

// Measure answers look-ups in the process and over HTTP with the given number of client blocks.
func (Lookup) Measure(ctx context.Context, size int) (map[string]float64, error) {
	all := blocks(size)
	t, err := block.New(all)
	if err != nil {
		return nil, err
	}
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		clients[i] = all[i*7919%len(all)].Prefix().Addr()
	}
	d := directory(DesignNodes, t)
	i := 0
	took := per(ctx, time.Second, func() {
		for range 1000 {
			_, err = d.Answer(lookup.Query{Service: "status", Client: clients[i%len(clients)]}, time.Now())
			i++
		}
	}) / 1000
	if err != nil {
		return nil, err
	}
	out := map[string]float64{"answer-µs": micros(took), "answers/s-per-core": 1 / took.Seconds()}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	for range 100_000 {
		at := time.Now()
		_, _ = d.Answer(lookup.Query{Service: "status", Client: clients[i%len(clients)]}, at)
		i++
		_ = h.RecordValue(time.Since(at).Nanoseconds()) // A value above a second counts as the highest.
	}
	out["answer-p99-µs"] = float64(h.ValueAtQuantile(99)) / 1e3
	return out, serve(ctx, d, clients, out)
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// directory returns a directory that knows a fleet of the given size.
func directory(nodes int, b lookup.Blocks) *lookup.Directory {
	d := lookup.New(lookup.Settings{Entry: entryName(0), Zone: zoneName(0), Region: regionName(0), Seed: 1})
	d.Update(time.Now(), directoryInput(nodes, b))
	return d
}

func directoryInput(nodes int, b lookup.Blocks) lookup.Input {
	in := lookup.Input{Document: document.New(fields(nodes)), Members: members(nodes), Blocks: b}
	for _, m := range in.Members {
		for i, s := range services {
			in.FreeSlots = append(in.FreeSlots, member.NewFreeSlots(m.Name(), s, 1+i, time.Now()))
		}
	}
	return in
}

// serve measures look-ups over HTTP on loopback, the caller in the same process included.
func serve(ctx context.Context, d *lookup.Directory, clients []netip.Addr, out map[string]float64) error {
	g := gateway.New(gateway.Dependencies{Entry: ready{document.New(fields(nodesToday))}, Directory: d, Name: entryName(0), LookupTTL: 10 * time.Second, Forward: http.NotFound})
	server := httptest.NewServer(g)
	defer server.Close()
	h := hdrhistogram.New(1, int64(time.Second), 3)
	i, failed := 0, error(nil)
	one := func() {
		at := time.Now()
		resp, err := server.Client().Get(server.URL + "/lookup?service=status&client=" + clients[i%len(clients)].String())
		if err != nil {
			failed = err
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = h.RecordValue(time.Since(at).Nanoseconds())
		i++
	}
	took := per(ctx, 2*time.Second, one)
	out["http-both-ends-µs"] = micros(took)
	out["http-p99-µs"] = float64(h.ValueAtQuantile(99)) / 1e3
	r := httptest.NewRequest(http.MethodGet, "/lookup?service=status&client="+clients[0].String(), nil)
	out["handler-µs"] = micros(per(ctx, time.Second, func() { g.ServeHTTP(httptest.NewRecorder(), r) }))
	return failed
}

// ready is an entry that serves.
type ready struct{ d *document.Document }

// Document returns the configuration.
func (r ready) Document() *document.Document { return r.d }

// Ready reports true.
func (ready) Ready() bool { return true }

// Leaving reports false.
func (ready) Leaving() bool { return false }

// Directory measures the rebuild of the look-up table against the fleet.
type Directory struct{}

// Name returns the name of the role.
func (Directory) Name() string { return "directory" }

// Scale counts entries.
func (Directory) Scale() Scale { return nodeScale(12, 48, 192, 400, DesignNodes) }

// Measure rebuilds the table of a fleet of the given size.
func (Directory) Measure(ctx context.Context, size int) (map[string]float64, error) {
	in := directoryInput(size, nil)
	before := heap()
	d := directory(size, nil)
	out := map[string]float64{"memory-MB": (heap() - before) / 1e6}
	took := per(ctx, 300*time.Millisecond, func() { d.Update(time.Now(), in) })
	out["update-µs"] = micros(took)
	out["core-percent"] = 100 * ticks * took.Seconds() / float64(node.LookupTicks(size))
	return out, nil
}
