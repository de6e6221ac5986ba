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

// batch is how many tickets are fetched at once.
const batch = 20

// tickets keeps unused order tickets for one tenant.
type tickets struct {
	http  *http.Client
	head  http.Header
	mu    sync.Mutex
	stock map[string][]ticket
}

type ticket struct {
	text  string
	until time.Time
}

func newTickets(c *http.Client, head http.Header) *tickets {
	return &tickets{http: c, head: head, stock: make(map[string][]ticket)}
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
	t.stock[service] = append(t.stock[service], fresh[1:]...)
	return fresh[0].text, nil
}

func (t *tickets) take(service string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.stock[service]) > 0 {
		first := t.stock[service][0]
		t.stock[service] = t.stock[service][1:]
		if time.Now().Before(first.until) {
			return first.text, true
		}
	}
	return "", false
}

// drop forgets the unused tickets of a service, after one proved worthless.
func (t *tickets) drop(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stock, service)
}

func (t *tickets) fetch(ctx context.Context, address, service string) ([]ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	q := url.Values{"service": {service}, "count": {strconv.Itoa(batch)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/ticket?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header = t.head.Clone()
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
	// A ticket is used within half its validity, so that repeats still find it valid.
	until := time.Now().Add(time.Duration(body.TTL * float64(time.Second) / 2))
	var fresh []ticket
	for _, text := range body.Tickets {
		fresh = append(fresh, ticket{text, until})
	}
	return fresh, nil
}
