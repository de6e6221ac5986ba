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

// The times of one measurement and the layout of the fleet.
const (
	settle   = 30 * time.Second
	window   = 10 * time.Second
	patient  = 30 * time.Second
	versions = 5 // a single change meets the slowest entry only by chance
	regions  = 4
)

// Gossip measures the exchange between entries that all run in this process, over TCP on loopback.
type Gossip struct {
	Seed   uint64
	Sizes  []int // Sizes are the fleet sizes; none means the default.
	Deaths bool  // Deaths stops an entry at the end and takes up to 90 s more per size.
}

// Name returns the name of the role.
func (Gossip) Name() string { return "gossip" }

// Scale counts entries.
func (g Gossip) Scale() Scale {
	if len(g.Sizes) > 0 {
		return nodeScale(g.Sizes...)
	}
	return nodeScale(48, 192, 400)
}

type holder struct {
	mu      sync.Mutex
	version uint64
	hash    [32]byte
	data    []byte
	at      time.Time
}

// Raw returns the held configuration.
func (h *holder) Raw() (uint64, [32]byte, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.hash, h.data
}

// Adopt takes over a higher version and notes the time.
func (h *holder) Adopt(version uint64, hash [32]byte, data []byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return false, nil
	}
	h.version, h.hash, h.data, h.at = version, hash, data, time.Now()
	return true, nil
}

// Raise is of no use here: nothing in the measurement serves requests.
func (h *holder) Raise(uint64) {}

type silent struct{}

// Log drops the event.
func (silent) Log(event.Number, ...any) {}

type entry struct {
	*gossip.Service
	holder *holder
	stop   context.CancelFunc
}

type fleet struct {
	entries []entry
	wait    sync.WaitGroup
	cancel  context.CancelFunc
}

// Measure runs a fleet of the given size for one to two minutes.
func (g Gossip) Measure(ctx context.Context, nodes int) (map[string]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	before := heap()
	f := &fleet{cancel: cancel}
	defer f.stop()
	if err := f.start(ctx, nodes, g.Seed); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	out := map[string]float64{"memory-MB": (heap() - before) / float64(nodes) / 1e6}
	f.steady(out)
	f.propagate(ctx, out)
	if g.Deaths {
		f.die(ctx, out)
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
		h := &holder{}
		region := fmt.Sprintf("region-%d", i%regions)
		self := member.New(member.Fields{
			Name: entryName(i), Incarnation: [16]byte{1, byte(i), byte(i >> 8)},
			Zone: region + "-a", Region: region, PeerAddr: seeds[i], CallAddr: seeds[i], RelayAddr: seeds[i],
		})
		s := gossip.New(gossip.Settings{Self: self, Key: []byte("capacity"), Seeds: seeds}, gossip.Dependencies{
			Dial: dialer.DialContext, Holder: h, Now: time.Now, Seed: seed + uint64(i), Events: silent{},
		})
		s.SetFreeSlots([]member.FreeSlots{member.NewFreeSlots(self.Name(), "status", i%9, time.Now()), member.NewFreeSlots(self.Name(), "gifts", i%5, time.Now())})
		own, stop := context.WithCancel(ctx)
		f.entries = append(f.entries, entry{s, h, stop})
		f.wait.Go(func() { _ = s.Serve(own, l) })
		f.wait.Go(func() { _ = s.Run(own) })
	}
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	f.wait.Wait()
}

// steady measures the cost per node without any change.
func (f *fleet) steady(out map[string]float64) {
	sent, messages := f.totals()
	busy := processor()
	time.Sleep(window)
	used := processor() - busy
	sentAfter, messagesAfter := f.totals()
	n, seconds := float64(len(f.entries)), window.Seconds()
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
	f.ages(out)
}

// bulk returns the bytes of configurations that all entries have sent.
func (f *fleet) bulk() int64 {
	var sum int64
	for _, e := range f.entries {
		sum += e.Counts().UnbudgetedBytes
	}
	return sum
}

func (f *fleet) totals() (sent, messages int64) {
	for _, e := range f.entries {
		c := e.Counts()
		sent += c.SentBytes
		messages += c.Messages
	}
	return sent, messages
}

// propagate measures how long new versions take from one entry to all; an entry not reached counts the whole wait.
func (f *fleet) propagate(ctx context.Context, out map[string]float64) {
	var times []float64
	busy, bulk := processor(), f.bulk()
	for i := range versions {
		times = append(times, f.spread(ctx, uint64(i+2))...)
	}
	out["change-core-ms"] = 1e3 * (processor() - busy).Seconds() / versions / float64(len(f.entries))
	perChange := float64(f.bulk()-bulk) / versions / float64(len(f.entries))
	out["sent-bytes/s"] += DesignChanges * perChange / seconds
	out["change-bytes"] = perChange
	slices.Sort(times)
	out["propagation-p50-s"] = times[len(times)/2]
	out["propagation-p99-s"] = times[len(times)*99/100]
	out["propagation-max-s"] = times[len(times)-1]
	late := 0
	for _, t := range times {
		if t >= patient.Seconds() {
			late++
		}
	}
	out["not-reached"] = float64(late)
}

// spread gives one entry a new version and returns when each entry adopted it.
func (f *fleet) spread(ctx context.Context, version uint64) []float64 {
	f0 := fields(len(f.entries))
	f0.Version = version
	data, err := codec.Encode(document.New(f0))
	if err != nil {
		return nil
	}
	start := time.Now()
	first := f.entries[int(version)%len(f.entries)]
	_, _ = first.holder.Adopt(version, sha256.Sum256(data), data)
	first.Push(ctx)
	var times []float64
	for _, e := range f.entries {
		times = append(times, e.holder.wait(version, start).Seconds())
	}
	return times
}

// wait returns how long after the start the version was adopted, at most the patience.
func (h *holder) wait(version uint64, start time.Time) time.Duration {
	for time.Since(start) < patient {
		h.mu.Lock()
		held, at := h.version, h.at
		h.mu.Unlock()
		if held >= version {
			return at.Sub(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return patient
}

// ages measures how old the newest news of each member is at each other entry.
func (f *fleet) ages(out map[string]float64) {
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

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processor returns the processor time that this process has used, the kernel's work for it included.
func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
