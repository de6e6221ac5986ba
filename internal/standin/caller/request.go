package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// defaultBackoff is the delay before a retry when the response has no Retry-After.
const defaultBackoff = 50 * time.Millisecond

// maxBackoff limits the delay of a Retry-After.
const maxBackoff = time.Second

// sendRequest sends one request and retries it until it has run, can't be retried or has used its attempts.
func (c *Caller) sendRequest(ctx context.Context, l Load) Record {
	r := Record{ID: c.nextID(), Caller: c.s.Name, Tenant: c.s.Tenant, Service: l.Service, Kind: l.Kind}
	key := ""
	draw := c.randomInt(1 << 20)
	for i := range c.s.MaxAttempts {
		entries, err := c.directory.entries(ctx, l.Service, draw+i)
		if err != nil {
			if !sleep(ctx, defaultBackoff) {
				break
			}
			continue
		}
		e := c.directory.pick(entries, draw+i)
		if l.Kind == Order && l.OwnKeys {
			key = "own-" + r.ID
		}
		if l.Kind == Order && key == "" {
			if key, err = c.tickets.next(ctx, e.Address, l.Service); err != nil {
				continue
			}
		}
		id := r.ID
		if l.Kind != Order {
			id = fmt.Sprintf("%s.%d", r.ID, i)
		}
		t, delay := c.attempt(ctx, &r, l, e, Attempt{ID: id, Key: key})
		if t.Reason == "unreached" && r.mayHaveRun(key) {
			// No entry reported the outcome for the key, and an earlier attempt with it may have run.
			t.Verdict = "may-have-run"
		}
		r.Attempts = append(r.Attempts, t)
		if t.Verdict == "ran" || ctx.Err() != nil || (t.Verdict != "not-run" && l.Kind == Upload) || !retryable(t) {
			break
		}
		if t.Reason == "issuer-gone" && t.Verdict == "not-run" {
			c.tickets.drop(l.Service)
			key = ""
		}
		if !sleep(ctx, delay) {
			break
		}
	}
	r.Stopped = ctx.Err() != nil
	return r
}

// retryable reports whether a retry can succeed. A retry after a 4xx status fails
// in the same way, except after 429 or when the issuer of the ticket is gone, in
// which case a new ticket replaces it.
func retryable(t Attempt) bool {
	return t.Status < 400 || t.Status >= 500 || t.Status == http.StatusTooManyRequests || t.Reason == "issuer-gone"
}

// attempt sends the request once and returns the outcome and the delay before a retry.
func (c *Caller) attempt(ctx context.Context, r *Record, l Load, e entry, t Attempt) (Attempt, time.Duration) {
	t.Entry, t.Verdict, t.Start = e.Name, "may-have-run", time.Now()
	// An entry responds by the deadline; the margin covers the network round trip.
	ctx, cancel := context.WithTimeout(ctx, l.Timeout+entryTimeout)
	defer cancel()
	resp, body, sent, err := c.send(ctx, t.ID, l, e, t.Key)
	t.End = time.Now()
	if resp != nil {
		t.Status = resp.StatusCode
		t.Verdict, t.Reason = resp.Header.Get("Verdict"), resp.Header.Get("Reason")
		t.Target = resp.Header.Get("Served-By")
	}
	if err != nil {
		r.Truncated = r.Truncated || resp != nil
		t.Verdict, t.Reason, t.Detail = "may-have-run", "lost", err.Error()
		c.directory.skip(e.Address)
		if errors.Is(err, context.DeadlineExceeded) {
			t.Reason = "timeout"
		}
		if !sent {
			t.Verdict, t.Reason = "not-run", "unreached"
		}
		return t, defaultBackoff
	}
	if t.Verdict == "ran" && t.Status < 300 && c.s.Check != nil {
		if err := c.s.Check(t.ID, l, resp.Header, body); err != nil {
			r.Mismatch = err.Error()
		}
	}
	return t, retryDelay(resp.Header.Get("Retry-After"))
}

// send sends the request and reports whether it got a connection, so that any of
// it may have been sent. The transport may retry on a new connection after one
// has failed, so an error of the last dial alone doesn't prove that nothing was
// sent.
func (c *Caller) send(ctx context.Context, id string, l Load, e entry, key string) (resp *http.Response, body []byte, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	method, content := http.MethodGet, io.Reader(http.NoBody)
	if l.Kind != Read {
		method, content = http.MethodPost, bytes.NewReader(make([]byte, l.BodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+"/run/"+l.Service+"/"+c.s.Path(id, l), content)
	if err != nil {
		return nil, nil, false, err
	}
	req.Header = c.newHeader()
	req.Header.Set("Timeout", strconv.FormatInt(l.Timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err = c.http.Do(req)
	if err != nil {
		return nil, nil, connected.Load(), err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp, body, true, err
}

// retryDelay returns the delay of a Retry-After header in seconds, limited to maxBackoff.
func retryDelay(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || s <= 0 {
		return defaultBackoff
	}
	return min(time.Duration(s*float64(time.Second)), maxBackoff)
}
