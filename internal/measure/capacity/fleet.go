package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/gossip"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// The durations of one measurement and the layout of the fleet.
const (
	settleTime         = 30 * time.Second
	steadyWindow       = 10 * time.Second
	propagationTimeout = 30 * time.Second
	versionCount       = 5 // a single change would find the slowest case only by chance
	regionCount        = 4
)

// GossipRole measures the gossip between entries that all run in this process, over TCP on loopback.
type GossipRole struct {
	Seed          uint64
	Sizes         []int // Sizes are the fleet sizes; empty means the default.
	MeasureDeaths bool  // MeasureDeaths adds a measurement of failure detection, which takes up to 90 s more per size.
}

// Name returns the name of the role.
func (GossipRole) Name() string { return "gossip" }

// Scale counts entries.
func (g GossipRole) Scale() Scale {
	if len(g.Sizes) > 0 {
		return nodeScale(g.Sizes...)
	}
	return nodeScale(48, 192, 400)
}

// configHolder holds the configuration of an entry and records when it was adopted.
type configHolder struct {
	mu        sync.Mutex
	version   uint64
	hash      [32]byte
	data      []byte
	adoptedAt time.Time
}

// Raw returns the held configuration.
func (h *configHolder) Raw() (uint64, [32]byte, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.hash, h.data
}

// Adopt stores a higher version and records the time.
func (h *configHolder) Adopt(version uint64, hash [32]byte, data []byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return false, nil
	}
	h.version, h.hash, h.data, h.adoptedAt = version, hash, data, time.Now()
	return true, nil
}

// Raise does nothing: no entry of the measurement serves requests.
func (h *configHolder) Raise(uint64) {}

type discardLog struct{}

// Log discards the event.
func (discardLog) Log(event.Number, ...any) {}

type entry struct {
	*gossip.Service
	holder *configHolder
	stop   context.CancelFunc
}

type fleet struct {
	entries []entry
	wait    sync.WaitGroup
	cancel  context.CancelFunc
}

// Measure runs a fleet of the given size for one to two minutes.
func (g GossipRole) Measure(ctx context.Context, nodes int) (map[string]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	before := heapBytes()
	f := &fleet{cancel: cancel}
	defer f.stop()
	if err := f.start(ctx, nodes, g.Seed); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	out := map[string]float64{"memory-MB": (heapBytes() - before) / float64(nodes) / 1e6}
	f.measureSteady(out)
	f.measurePropagation(ctx, out)
	if g.MeasureDeaths {
		f.measureFailureDetection(ctx, out)
	}
	return out, nil
}

func (f *fleet) start(ctx context.Context, nodes int, seed uint64) error {
	var listeners []net.Listener
	var seeds []netip.AddrPort
	for range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("capacity: %w", err)
		}
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().(*net.TCPAddr).AddrPort())
	}
	var dialer net.Dialer
	for i, l := range listeners {
		h := &configHolder{}
		region := fmt.Sprintf("region-%d", i%regionCount)
		self := member.New(member.Fields{
			Name: entryName(i), Incarnation: [16]byte{1, byte(i), byte(i >> 8)},
			Zone: region + "-a", Region: region, PeerAddr: seeds[i], CallAddr: seeds[i], RelayAddr: seeds[i],
		})
		s := gossip.New(gossip.Settings{Self: self, Key: []byte("capacity"), Seeds: seeds}, gossip.Dependencies{
			Dial: dialer.DialContext, Holder: h, Now: time.Now, Seed: seed + uint64(i), Events: discardLog{},
		})
		s.SetFreeSlots([]member.FreeSlots{member.NewFreeSlots(self.Name(), "status", i%9, time.Now()), member.NewFreeSlots(self.Name(), "gifts", i%5, time.Now())})
		entryCtx, stop := context.WithCancel(ctx)
		f.entries = append(f.entries, entry{s, h, stop})
		f.wait.Go(func() { _ = s.Serve(entryCtx, l) })
		f.wait.Go(func() { _ = s.Run(entryCtx) })
	}
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	f.wait.Wait()
}

// measureSteady measures the cost per entry while the configuration does not change.
func (f *fleet) measureSteady(out map[string]float64) {
	sent, messages := f.sentTotals()
	cpuStart := cpuTime()
	time.Sleep(steadyWindow)
	used := cpuTime() - cpuStart
	sentAfter, messagesAfter := f.sentTotals()
	n, seconds := float64(len(f.entries)), steadyWindow.Seconds()
	out["exchange-bytes/s"] = float64(sentAfter-sent) / n / seconds
	out["sent-bytes/s"] = float64(sentAfter-sent) / n / seconds
	out["messages/s"] = float64(messagesAfter-messages) / n / seconds
	out["core-percent"] = 100 * used.Seconds() / n / seconds
	counts := make(map[member.State]int)
	for _, e := range f.entries {
		for _, m := range e.Members() {
			counts[m.State()]++
		}
	}
	for _, state := range []member.State{member.Alive, member.Suspect, member.Dead} {
		out[state.String()+"-percent"] = 100 * float64(counts[state]) / n / n
	}
	f.measureAges(out)
}

// unbudgetedBytes returns the bytes of configurations and status answers that all entries have sent; they are outside the gossip budget.
func (f *fleet) unbudgetedBytes() int64 {
	var sum int64
	for _, e := range f.entries {
		sum += e.Counts().UnbudgetedBytes
	}
	return sum
}

// sentTotals returns the bytes and messages that all entries have sent.
func (f *fleet) sentTotals() (sent, messages int64) {
	for _, e := range f.entries {
		c := e.Counts()
		sent += c.SentBytes
		messages += c.Messages
	}
	return sent, messages
}

// measurePropagation measures how long new versions take from one entry to all. An entry that a version does not reach
// counts as the whole timeout.
func (f *fleet) measurePropagation(ctx context.Context, out map[string]float64) {
	var times []float64
	cpuStart, bytesBefore := cpuTime(), f.unbudgetedBytes()
	for i := range versionCount {
		times = append(times, f.propagateVersion(ctx, uint64(i+2))...)
	}
	out["change-core-ms"] = 1e3 * (cpuTime() - cpuStart).Seconds() / versionCount / float64(len(f.entries))
	perChange := float64(f.unbudgetedBytes()-bytesBefore) / versionCount / float64(len(f.entries))
	out["sent-bytes/s"] += DesignChanges * perChange / secondsPerDay
	out["change-bytes"] = perChange
	slices.Sort(times)
	out["propagation-p50-s"] = times[len(times)/2]
	out["propagation-p99-s"] = times[len(times)*99/100]
	out["propagation-max-s"] = times[len(times)-1]
	late := 0
	for _, t := range times {
		if t >= propagationTimeout.Seconds() {
			late++
		}
	}
	out["not-reached"] = float64(late)
}

// propagateVersion hands a new version to one entry and returns how long each entry took to adopt it, in seconds.
func (f *fleet) propagateVersion(ctx context.Context, version uint64) []float64 {
	updated := configFields(len(f.entries))
	updated.Version = version
	data, err := codec.Encode(document.New(updated))
	if err != nil {
		return nil
	}
	start := time.Now()
	first := f.entries[int(version)%len(f.entries)]
	_, _ = first.holder.Adopt(version, sha256.Sum256(data), data)
	first.Push(ctx)
	var times []float64
	for _, e := range f.entries {
		times = append(times, e.holder.waitForVersion(version, start).Seconds())
	}
	return times
}

// waitForVersion returns the time from start to the adoption of the version, at most propagationTimeout.
func (h *configHolder) waitForVersion(version uint64, start time.Time) time.Duration {
	for time.Since(start) < propagationTimeout {
		h.mu.Lock()
		held, at := h.version, h.adoptedAt
		h.mu.Unlock()
		if held >= version {
			return at.Sub(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return propagationTimeout
}

// measureAges measures the age of the latest free-slot report of each member at every other entry, and the gossip intervals.
func (f *fleet) measureAges(out map[string]float64) {
	var all []float64
	var intervals []float64
	for i, e := range f.entries {
		now := time.Now()
		for _, r := range e.FreeSlots() {
			if r.Service() == "status" && r.Entry() != entryName(i) {
				all = append(all, now.Sub(r.UpdatedAt()).Seconds())
			}
		}
		intervals = append(intervals, e.Interval().Seconds())
	}
	slices.Sort(all)
	slices.Sort(intervals)
	out["news-age-p50-s"] = all[len(all)/2]
	out["news-age-p999-s"] = all[len(all)*999/1000]
	out["news-age-max-s"] = all[len(all)-1]
	out["interval-p50-s"] = intervals[len(intervals)/2]
	out["interval-max-s"] = intervals[len(intervals)-1]
}

// heapBytes returns the bytes of live heap objects after a collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
