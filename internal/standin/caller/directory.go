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

// entry is an entry in a look-up response.
type entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// lookUpResponse is the response to a look-up.
type lookUpResponse struct {
	Version uint64  `json:"version"`
	Region  string  `json:"region"`
	TTL     float64 `json:"ttl"`
	Entries []entry `json:"entries"`
}

// entryTimeout is the timeout of a look-up or a ticket request at one entry.
const entryTimeout = 2 * time.Second

// directory looks up entries and caches the responses for their time to live.
type directory struct {
	http     *http.Client
	client   string
	seeds    []string
	fallback []string
	mu       sync.Mutex
	cached   map[string]cachedResponse
	skipped  map[string]time.Time // skipped holds the failed addresses and until when they are skipped.
}

// skipTime is how long an address is skipped after a failure.
const skipTime = 3 * time.Second

// cachedResponse holds the entries of a look-up until they expire.
type cachedResponse struct {
	entries []entry
	until   time.Time
}

func newDirectory(c *http.Client, client string, seeds, fallback []string) *directory {
	return &directory{http: c, client: client, seeds: seeds, fallback: fallback, cached: make(map[string]cachedResponse), skipped: make(map[string]time.Time)}
}

// entries returns the entries for the service from the cache or from a new look-up. The random number draw selects the first seed.
func (d *directory) entries(ctx context.Context, service string, draw int) ([]entry, error) {
	d.mu.Lock()
	c, ok := d.cached[service]
	d.mu.Unlock()
	if ok && time.Now().Before(c.until) {
		return c.entries, nil
	}
	var lastErr error
	for _, address := range d.candidates(c.entries, draw) {
		a, err := d.lookUp(ctx, address, service)
		if err != nil {
			lastErr = err
			continue
		}
		ttl := time.Duration(a.TTL * float64(time.Second))
		d.mu.Lock()
		d.cached[service] = cachedResponse{entries: a.Entries, until: time.Now().Add(ttl)}
		d.mu.Unlock()
		return a.Entries, nil
	}
	return nil, fmt.Errorf("caller: no look-up for %s: %w", service, lastErr)
}

// candidates returns the addresses to try: those of the last response, then the seeds starting at the one that draw selects, then the fallback addresses.
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
	return append(all, d.fallback...)
}

func (d *directory) lookUp(ctx context.Context, address, service string) (lookUpResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	q := url.Values{"service": {service}}
	if d.client != "" {
		q.Set("client", d.client)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lookup?"+q.Encode(), nil)
	if err != nil {
		return lookUpResponse{}, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return lookUpResponse{}, err
	}
	defer resp.Body.Close()
	var a lookUpResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return lookUpResponse{}, err
	}
	if resp.StatusCode != http.StatusOK || len(a.Entries) == 0 {
		return lookUpResponse{}, fmt.Errorf("caller: look-up at %s: status %d with %d entries", address, resp.StatusCode, len(a.Entries))
	}
	return a, nil
}

// skip makes pick skip the address for skipTime.
func (d *directory) skip(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.skipped[address] = time.Now().Add(skipTime)
}

// pick returns one of the entries that isn't skipped, or any when all are.
func (d *directory) pick(entries []entry, draw int) entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for i := range entries {
		e := entries[(draw+i)%len(entries)]
		if d.skipped[e.Address].Before(now) {
			return e
		}
	}
	return entries[draw%len(entries)]
}
