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

// buyer is a caller of a site; it sends orders over HTTP and repeats each through other entries.
type buyer struct {
	site    *site
	number  int
	draw    *rand.Rand
	history *history
	began   time.Time
}

// run sends orders until stop is closed.
func (b *buyer) run(ctx context.Context, stop <-chan struct{}) (orders int) {
	for {
		select {
		case <-stop:
			return orders
		default:
		}
		key := fmt.Sprintf("order-%d-%d", b.number, orders)
		if b.draw.IntN(2) == 0 {
			key = b.ticket(ctx)
		}
		if key == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		orders++
		for range 2 + b.draw.IntN(3) {
			b.request(ctx, key)
			pause := b.draw.IntN(200)
			if b.draw.IntN(5) == 0 {
				pause += b.draw.IntN(2000)
			}
			time.Sleep(time.Duration(pause) * time.Millisecond)
		}
	}
}

// post sends a request to a random entry; false means that no complete answer arrived.
func (b *buyer) post(ctx context.Context, path, key string) (header http.Header, body []byte, by string, ok bool) {
	p := b.site.at(b.draw.IntN(len(places)))
	if p == nil {
		return nil, nil, "", false
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.call+path, nil)
	if err != nil {
		return nil, nil, "", false
	}
	q.Header.Set("Tenant", tenant)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
		q.Header.Set("Timeout", "1000")
	}
	resp, err := b.site.client.Do(q)
	if err != nil {
		return nil, nil, "", false
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.Header, body, p.Name(), err == nil
}

func (b *buyer) ticket(ctx context.Context) string {
	var out struct{ Tickets []string }
	_, body, _, ok := b.post(ctx, "/ticket?service="+service, "")
	if !ok || json.Unmarshal(body, &out) != nil || len(out.Tickets) != 1 {
		return ""
	}
	return out.Tickets[0]
}

// request sends the order once and records what it was told; the target names itself in its answer.
func (b *buyer) request(ctx context.Context, key string) {
	call := time.Since(b.began)
	header, _, by, ok := b.post(ctx, "/run/"+service+"/x", key)
	if !ok {
		return
	}
	v, err := verdict.Parse(header.Get("Verdict"))
	if err != nil {
		return // An answer without a verdict tells nothing.
	}
	r := reply{verdict: v}
	if v == verdict.Ran {
		r.run = header.Get("Served-By")
	}
	b.history.observe(b.number, key, by, int64(call), int64(time.Since(b.began)), r)
}
