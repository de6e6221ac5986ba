package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxInFlight is the largest number of requests that one caller has in flight.
// Further arrivals wait, as in a program with a bounded worker pool.
const maxInFlight = 256

// Caller generates the traffic that its settings describe.
type Caller struct {
	s         Settings
	http      *http.Client
	transport *http.Transport
	directory *directory
	tickets   *tickets
	slots     chan struct{}
	mu        sync.Mutex
	random    *rand.Rand
	records   []Record
	sequence  int
}

// New returns a caller; Run starts its traffic.
func New(s Settings) *Caller {
	transport := &http.Transport{
		DialContext:         s.Dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c := &Caller{
		s:         s,
		transport: transport,
		http:      &http.Client{Transport: transport},
		slots:     make(chan struct{}, maxInFlight),
		random:    rand.New(rand.NewPCG(s.Seed, 0x63616c6c)),
	}
	c.directory = newDirectory(c.http, s.Client, s.Entries, s.FallbackAddresses)
	c.tickets = newTickets(c.http, c.newHeader())
	return c
}

// Run starts requests until arrivals is done and then waits for the requests in
// flight, which end with ctx at the latest.
func (c *Caller) Run(ctx, arrivals context.Context) {
	var wg sync.WaitGroup
	for _, l := range c.s.Loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.startRequests(ctx, arrivals, l, &wg)
		}()
	}
	wg.Wait()
	c.transport.CloseIdleConnections()
}

// startRequests starts the requests of one load as a Poisson process.
func (c *Caller) startRequests(ctx, arrivals context.Context, l Load, wg *sync.WaitGroup) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(c.exponential() / l.Rate * float64(time.Second)))
		if !sleep(arrivals, time.Until(next)) {
			return
		}
		select {
		case c.slots <- struct{}{}:
		case <-arrivals.Done():
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-c.slots }()
			c.addRecord(c.sendRequest(ctx, l))
		}()
	}
}

// Records returns the requests that have ended so far, answered or not.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

func (c *Caller) addRecord(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

func (c *Caller) exponential() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.ExpFloat64()
}

func (c *Caller) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *Caller) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return fmt.Sprintf("%s-%d", c.s.Name, c.sequence)
}

func (c *Caller) newHeader() http.Header {
	h := http.Header{"Tenant": {c.s.Tenant}}
	if c.s.TenantKey != "" {
		h.Set("Tenant-Key", c.s.TenantKey)
	}
	return h
}

// sleep waits for d and reports false when ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
