package target

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is a stand-in target and is safe for concurrent use.
type Target struct {
	s        Settings
	mu       sync.Mutex
	faults   Faults
	rand     *rand.Rand
	busy     int
	served   int  // served counts requests since the cache was empty.
	draining bool // draining is whether the target reports that it is leaving.
	runs     []Run
	attempts *attempts
	started  time.Time
	samples  []sample // samples holds past loads, the oldest first.
	conns    map[*conn]bool
	// silenceNext makes the next connection silent.
	silenceNext bool
	server      *http.Server
	gate        chan struct{} // gate is closed to let held requests run; nil when Hold isn't in force.
	arrivals    chan struct{} // arrivals receives a value for each request that has taken a slot.
}

// sample is the load at a time.
type sample struct {
	at   time.Time
	busy int
}

const maxArrivals = 1024

// New returns a target with the given properties and without faults.
func New(s Settings) *Target {
	s.Slots = max(1, s.Slots)
	return &Target{
		s: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), attempts: newAttempts(), started: time.Now(),
		conns: make(map[*conn]bool), arrivals: make(chan struct{}, maxArrivals),
	}
}

// SetFaults replaces the faults that are in force.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetDraining sets whether the target reports that it is leaving.
func (t *Target) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on
}

// EmptyCache empties the cache: the next requests take as long as the first ones did.
func (t *Target) EmptyCache() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served = 0
}

// Busy returns the number of requests that hold a slot.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Runs returns every execution so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Order identifies an order across targets.
type Order struct{ Tenant, Key string }

// RepeatedOrders returns the orders that the targets ran more than once, with the number of runs.
func RepeatedOrders(targets ...*Target) map[Order]int {
	count := make(map[Order]int)
	for _, t := range targets {
		for _, r := range t.Runs() {
			if r.Key != "" {
				count[Order{r.Tenant, r.Key}]++
			}
		}
	}
	for o, n := range count {
		if n < 2 {
			delete(count, o)
		}
	}
	return count
}

// Hold blocks requests that have taken a slot before they run, until release is called.
func (t *Target) Hold() (release func()) {
	gate := make(chan struct{})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate = gate
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.gate == gate {
			t.gate = nil
			close(gate)
		}
	}
}

// Arrivals returns a channel that receives one value for each request that has taken a slot; it buffers up to 1024.
func (t *Target) Arrivals() <-chan struct{} { return t.arrivals }

// Silence makes the open connections drop all bytes in both directions; new connections work.
func (t *Target) Silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.silent.Store(true)
	}
}

// SilenceNext makes the next connection that is accepted drop all bytes.
func (t *Target) SilenceNext() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silenceNext = true
}

// Kill closes the listener and all connections at once.
func (t *Target) Kill() {
	t.mu.Lock()
	s := t.server
	open := make([]net.Conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	if s != nil {
		_ = s.Close() // Close errors are ignored because the target is being killed.
	}
	for _, c := range open {
		_ = c.Close()
	}
}

// Conns returns the number of open connections.
func (t *Target) Conns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// takeSlot takes a slot and returns the service time and the gate of Hold; false when the request must be rejected.
func (t *Target) takeSlot() (time.Duration, chan struct{}, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.s.Slots || t.faults.Shedding {
		return 0, nil, false
	}
	t.busy++
	t.recordLoad()
	return t.serviceTime(), t.gate, true
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.recordLoad()
}

// serviceTime draws a service time, which is longer while the cache is cold.
func (t *Target) serviceTime() time.Duration {
	d := float64(t.s.MeanServiceTime) * (1 + t.s.ServiceTimeSpread*(2*t.rand.Float64()-1))
	if t.served < t.s.WarmUpRequests && t.s.ColdFactor > 1 {
		d *= 1 + (t.s.ColdFactor-1)*float64(t.s.WarmUpRequests-t.served)/float64(t.s.WarmUpRequests)
	}
	t.served++
	return time.Duration(d)
}

func (t *Target) record(r *http.Request, times int) {
	run := Run{
		Tenant: r.Header.Get("Tenant"), Key: r.Header.Get("Idempotency-Key"),
		Attempt: r.Header.Get("Attempt"), Path: r.URL.Path, At: time.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for range times {
		t.runs = append(t.runs, run)
	}
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// startDeadline returns the time by which the request must have started; the zero time means that there is none.
func startDeadline(r *http.Request, arrived time.Time) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get("Timeout"), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return arrived.Add(time.Duration(ms) * time.Millisecond)
}
