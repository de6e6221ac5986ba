//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id, entry, method, path string
	sent, answered          time.Time
	status                  int // status is 0 for a connection that ended without an answer.
	stamp                   string
	err                     error
}

// traffic records the attempts of all clients.
type traffic struct {
	mu       sync.Mutex
	attempts []attempt
	number   int
}

func (t *traffic) nextID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	return fmt.Sprintf("%08x", t.number)
}

func (t *traffic) add(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
}

func (t *traffic) all() []attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]attempt(nil), t.attempts...)
}

const host = "jepu9.example"

// send makes one attempt at an entry over a new connection.
func (t *traffic) send(ctx context.Context, e *entry, method, path, object string, body string, limit time.Duration) attempt {
	a := attempt{id: t.nextID(), entry: e.name, method: method, path: path, sent: time.Now()}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(bounded, method, "http://"+e.call+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("Cookie", "X-Affinity-Key="+object)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(r)
	if err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.err, a.answered = err, time.Now()
	if ctx.Err() == nil {
		t.add(a)
	}
	return a
}

// lookUp asks the directory of an entry where a client of a zone connects.
func lookUp(ctx context.Context, e *entry, zone string) ([]string, error) {
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q := url.Values{"name": {host}, "region": {regionOf(zone)}, "zone": {zone}}
	r, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+e.directory+"/v1/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // the answer has been read
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Addresses, nil
}

// client sends requests from a zone until ctx ends; each goes to one of the addresses of the last look-up.
type client struct {
	zone    string
	entries []*entry
	traffic *traffic
	pause   time.Duration
	next    func(r *rand.Rand) (method, path, object string)
	limit   time.Duration
}

func (c *client) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	var known []*entry
	var keepUntil time.Time
	for ctx.Err() == nil {
		if time.Now().After(keepUntil) {
			if list := c.resolve(ctx); len(list) > 0 {
				known, keepUntil = list, time.Now().Add(lookupTTL)
			}
		}
		if len(known) > 0 {
			method, path, object := c.next(random)
			body := ""
			if method == http.MethodPost {
				body = strings.Repeat("x", 300)
			}
			c.traffic.send(ctx, known[random.IntN(len(known))], method, path, object, body, c.limit)
		}
		sleep(ctx, c.pause/2+time.Duration(random.Int64N(int64(c.pause))))
	}
}

// resolve asks up to three entries, those of the zone first.
func (c *client) resolve(ctx context.Context) []*entry {
	var near []*entry
	for _, same := range []bool{true, false} {
		for _, e := range c.entries {
			if (e.zone == c.zone) == same {
				near = append(near, e)
			}
		}
	}
	for _, e := range near[:min(3, len(near))] {
		addresses, err := lookUp(ctx, e, c.zone)
		if err != nil {
			continue
		}
		var known []*entry
		for _, o := range c.entries {
			for _, a := range addresses {
				if o.call == a {
					known = append(known, o)
				}
			}
		}
		return known
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
