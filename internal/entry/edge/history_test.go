package edge_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/platform/platformtest"
)

// history is a random sequence of loads, faults, restarts and partitions, and what callers and targets observed.
type history struct {
	f       *fleet
	r       *rand.Rand
	zones   []string
	targets []*platformtest.Target
	calls   sync.WaitGroup

	mu           sync.Mutex
	requestTimes []time.Time // requestTimes holds when callers sent their requests.
}

// manners are the behaviors that all targets of the service may have for some time.
var manners = []platformtest.Behavior{
	platformtest.Normal, platformtest.Normal, platformtest.Full, platformtest.CloseWithoutResponse, platformtest.TruncateBody, platformtest.Hang, platformtest.EndlessHeader,
}

// sendRequests sends n concurrent requests through each running entry.
func (h *history) sendRequests(n int) {
	for i := range h.zones {
		for k := range n {
			name := fmt.Sprint("e", i)
			id := fmt.Sprint("id-", h.r.Uint64())
			object := object(fmt.Sprint(h.r.IntN(20), k))
			h.mu.Lock()
			h.requestTimes = append(h.requestTimes, time.Now())
			h.mu.Unlock()
			h.calls.Go(func() { h.f.callAs(id, name, "GET", "/r/", object) })
		}
	}
}

// disturb injects or ends one random fault.
func (h *history) disturb() {
	switch h.r.IntN(6) {
	case 0, 1:
		m := manners[h.r.IntN(len(manners))]
		for _, x := range h.targets {
			x.SetBehavior(m)
		}
	case 2:
		i := h.r.IntN(len(h.zones))
		name := fmt.Sprint("e", i)
		h.calls.Wait()
		h.f.stop(name)
		h.f.start(name, h.zones[i])
	case 3:
		h.f.serveOnlyFirst(h.r.IntN(len(h.zones)))
	case 4:
		h.f.serveOnlyFirst(len(h.zones))
	default:
		h.f.suspended.Add(int64(time.Duration(h.r.IntN(3000)) * time.Millisecond))
	}
}

// retryTimes returns the times of all arrivals at targets except the first of each request.
func (h *history) retryTimes() []time.Time {
	first := make(map[string]time.Time)
	var all []time.Time
	for _, x := range h.targets {
		for _, a := range x.Arrivals() {
			at, known := first[a.ID]
			switch {
			case !known:
				first[a.ID] = a.At
			case a.At.Before(at):
				first[a.ID] = a.At
				all = append(all, at)
			default:
				all = append(all, a.At)
			}
		}
	}
	return all
}

// Guards against retries of all entries together that exceed the configured ratio in some window,
// under random loads, target faults, restarts, store faults and suspensions.
func TestAnyHistoryOfEntriesStaysWithinTheBudget(t *testing.T) {
	zones := []string{"a1", "a2", "b1", "a1", "a2", "b1", "a1", "a2"}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, zones, func(f *fleet) {
				h := &history{f: f, r: rand.New(rand.NewPCG(seed, 16)), zones: zones}
				f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
				for i := range 4 {
					h.targets = append(h.targets, f.target(fmt.Sprint("t", i), "s1", []string{"a1", "b1"}[i%2], func(x *platformtest.Target) { x.ServiceTime = 10 * time.Millisecond }))
				}
				settle()
				for range 14 {
					most := []int{0, 1, 2, 12}[h.r.IntN(4)]
					for range 8 {
						h.sendRequests(h.r.IntN(most + 1))
						if h.r.IntN(3) == 0 {
							h.disturb()
						}
						time.Sleep(time.Duration(h.r.IntN(2000)) * time.Millisecond)
					}
				}
				h.calls.Wait()
				retries := h.retryTimes()
				if over := ledger.Excess(h.requestTimes, retries, 0.2, 10*time.Second); over > 0 {
					t.Errorf("%.1f retries in a window beyond the ratio; %d retries of %d requests in total", over, len(retries), len(h.requestTimes))
				}
			})
		})
	}
}
