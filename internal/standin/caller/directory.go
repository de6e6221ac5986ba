package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// entry is an entry as named by a look-up.
type entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// answer is the response to a look-up.
type answer struct {
	Version uint64  `json:"version"`
	Region  string  `json:"region"`
	TTL     float64 `json:"ttl"`
	Entries []entry `json:"entries"`
}

// patience is how long a look-up or a ticket request waits for one entry.
const patience = 2 * time.Second

// directory caches look-ups for their time to live.
type directory struct {
	http   *http.Client
	client string
	seeds  []string
	spare  []string
	mu     sync.Mutex
	cached map[string]cachedAnswer
	broken map[string]time.Time // broken holds addresses that failed and until when they are passed over.
}

// shun is how long an address is passed over after a failure there.
const shun = 3 * time.Second

type cachedAnswer struct {
	entries []entry
	until   time.Time
}

func newDirectory(c *http.Client, client string, seeds, spare []string) *directory {
	return &directory{http: c, client: client, seeds: seeds, spare: spare, cached: make(map[string]cachedAnswer), broken: make(map[string]time.Time)}
}

// entries returns the entries for the service from the cache or from a new look-up.
func (d *directory) entries(ctx context.Context, service string, draw int) ([]entry, error) {
	d.mu.Lock()
	c, ok := d.cached[service]
	d.mu.Unlock()
	if ok && time.Now().Before(c.until) {
		return c.entries, nil
	}
	var last error
	for _, address := range d.candidates(c.entries, draw) {
		a, err := d.ask(ctx, address, service)
		if err != nil {
			last = err
			continue
		}
		ttl := time.Duration(a.TTL * float64(time.Second))
		d.mu.Lock()
		d.cached[service] = cachedAnswer{entries: a.Entries, until: time.Now().Add(ttl)}
		d.mu.Unlock()
		return a.Entries, nil
	}
	return nil, fmt.Errorf("caller: no look-up for %s: %w", service, last)
}

// candidates returns the addresses to ask: those of the last answer, then the seeds, each from a random start, then the spare ones.
func (d *directory) candidates(known []entry, draw int) []string {
	var all []string
	for _, e := range known {
		all = append(all, e.Address)
	}
	for i := range d.seeds {
		s := d.seeds[(i+draw)%len(d.seeds)]
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return append(all, d.spare...)
}

func (d *directory) ask(ctx context.Context, address, service string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	q := url.Values{"service": {service}}
	if d.client != "" {
		q.Set("client", d.client)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lookup?"+q.Encode(), nil)
	if err != nil {
		return answer{}, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return answer{}, err
	}
	if resp.StatusCode != http.StatusOK || len(a.Entries) == 0 {
		return answer{}, fmt.Errorf("caller: look-up at %s: status %d with %d entries", address, resp.StatusCode, len(a.Entries))
	}
	return a, nil
}

// avoid passes the address over for a while.
func (d *directory) avoid(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken[address] = time.Now().Add(shun)
}

// pick returns one of the entries that has not failed lately, or any when all have.
func (d *directory) pick(entries []entry, draw int) entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for i := range entries {
		e := entries[(draw+i)%len(entries)]
		if d.broken[e.Address].Before(now) {
			return e
		}
	}
	return entries[draw%len(entries)]
}
