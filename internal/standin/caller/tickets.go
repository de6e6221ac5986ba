package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// batch is the number of tickets fetched at once.
const batch = 20

// tickets keeps unused order tickets for one tenant.
type tickets struct {
	http   *http.Client
	header http.Header
	mu     sync.Mutex
	unused map[string][]ticket
}

// ticket is an idempotency key that an entry has issued.
type ticket struct {
	text  string
	until time.Time
}

func newTickets(c *http.Client, header http.Header) *tickets {
	return &tickets{http: c, header: header, unused: make(map[string][]ticket)}
}

// next returns an unused ticket, fetching more from the entry at the address when there is none.
func (t *tickets) next(ctx context.Context, address, service string) (string, error) {
	if text, ok := t.take(service); ok {
		return text, nil
	}
	fresh, err := t.fetch(ctx, address, service)
	if err != nil {
		return "", err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unused[service] = append(t.unused[service], fresh[1:]...)
	return fresh[0].text, nil
}

func (t *tickets) take(service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.unused[service]) > 0 {
		first := t.unused[service][0]
		t.unused[service] = t.unused[service][1:]
		if time.Now().Before(first.until) {
			return first.text, true
		}
	}
	return "", false
}

// drop discards the unused tickets of a service after the issuer of one is found to be gone.
func (t *tickets) drop(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unused, service)
}

func (t *tickets) fetch(ctx context.Context, address, service string) ([]ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	q := url.Values{"service": {service}, "count": {strconv.Itoa(batch)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/ticket?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header = t.header.Clone()
	resp, err := t.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Tickets []string `json:"tickets"`
		TTL     float64  `json:"ttl"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || len(body.Tickets) == 0 {
		return nil, fmt.Errorf("caller: tickets from %s: status %d", address, resp.StatusCode)
	}
	// A ticket is first used within half its time to live, so that it is still valid for retries.
	until := time.Now().Add(time.Duration(body.TTL * float64(time.Second) / 2))
	var fresh []ticket
	for _, text := range body.Tickets {
		fresh = append(fresh, ticket{text, until})
	}
	return fresh, nil
}
