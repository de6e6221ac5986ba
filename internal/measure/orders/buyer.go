package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"tamarackspool/internal/request/verdict"
)

// siteCaller is a caller of a site; it sends orders over HTTP and retries each through random entries.
type siteCaller struct {
	site      *site
	number    int
	rng       *rand.Rand
	history   *history
	startedAt time.Time
}

// sendOrders sends orders until stop is closed and returns their number.
func (c *siteCaller) sendOrders(ctx context.Context, stop <-chan struct{}) (orders int) {
	for {
		select {
		case <-stop:
			return orders
		default:
		}
		key := fmt.Sprintf("order-%d-%d", c.number, orders)
		if c.rng.IntN(2) == 0 {
			key = c.newTicket(ctx)
		}
		if key == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		orders++
		for range 2 + c.rng.IntN(3) {
			c.sendRequest(ctx, key)
			pause := c.rng.IntN(200)
			if c.rng.IntN(5) == 0 {
				pause += c.rng.IntN(2000)
			}
			time.Sleep(time.Duration(pause) * time.Millisecond)
		}
	}
}

// post sends a request to a random entry, whose name it returns as by; ok is false when no complete response arrived.
func (c *siteCaller) post(ctx context.Context, path, key string) (header http.Header, body []byte, by string, ok bool) {
	p := c.site.process(c.rng.IntN(len(sitePlaces)))
	if p == nil {
		return nil, nil, "", false
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callAddress+path, nil)
	if err != nil {
		return nil, nil, "", false
	}
	q.Header.Set("Tenant", tenant)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
		q.Header.Set("Timeout", "1000")
	}
	resp, err := c.site.client.Do(q)
	if err != nil {
		return nil, nil, "", false
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.Header, body, p.Name(), err == nil
}

// newTicket returns a new ticket from a random entry, or an empty string when it got none.
func (c *siteCaller) newTicket(ctx context.Context) string {
	var out struct{ Tickets []string }
	_, body, _, ok := c.post(ctx, "/ticket?service="+service, "")
	if !ok || json.Unmarshal(body, &out) != nil || len(out.Tickets) != 1 {
		return ""
	}
	return out.Tickets[0]
}

// sendRequest sends the order once and records the answer; the header Served-By names the target.
func (c *siteCaller) sendRequest(ctx context.Context, key string) {
	call := time.Since(c.startedAt)
	header, _, by, ok := c.post(ctx, "/run/"+service+"/x", key)
	if !ok {
		return
	}
	v, err := verdict.Parse(header.Get("Verdict"))
	if err != nil {
		return // A response without a verdict says nothing about the order.
	}
	r := reply{verdict: v}
	if v == verdict.Ran {
		r.run = header.Get("Served-By")
	}
	c.history.recordAnswerAt(c.number, key, by, int64(call), int64(time.Since(c.startedAt)), r)
}
