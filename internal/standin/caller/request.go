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

// pause is the wait before a new attempt when the response advises none.
const pause = 50 * time.Millisecond

// pauseLimit is the longest advised wait that the caller follows.
const pauseLimit = time.Second

// request sends one request until it is answered or given up.
func (c *Caller) request(ctx context.Context, l Load) Record {
	r := Record{ID: c.id(), Caller: c.s.Name, Tenant: c.s.Tenant, Service: l.Service, Kind: l.Kind}
	key := ""
	first := c.draw(1 << 20)
	for i := range c.s.Tries {
		entries, err := c.directory.entries(ctx, l.Service, first+i)
		if err != nil {
			if !sleep(ctx, pause) {
				break
			}
			continue
		}
		e := c.directory.pick(entries, first+i)
		if l.Kind == Order && l.Own {
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
		t, after := c.attempt(ctx, &r, l, e, Try{ID: id, Key: key})
		if t.Reason == "unreached" && r.uncertain(key) {
			// Nothing was told about the key, and an earlier attempt of it may have run.
			t.Verdict = "may-have-run"
		}
		r.Tries = append(r.Tries, t)
		if t.Verdict == "ran" || ctx.Err() != nil || (t.Verdict != "not-run" && l.Kind == Upload) || !again(t) {
			break
		}
		if t.Reason == "issuer-gone" && t.Verdict == "not-run" {
			c.tickets.drop(l.Service)
			key = ""
		}
		if !sleep(ctx, after) {
			break
		}
	}
	r.Stopped = ctx.Err() != nil
	return r
}

// again reports whether another attempt can help; bad input stays bad,
// but a ticket whose issuer is gone can be replaced by a new one.
func again(t Try) bool {
	return t.Status < 400 || t.Status >= 500 || t.Status == http.StatusTooManyRequests || t.Reason == "issuer-gone"
}

// attempt sends the request once and returns what was told and how long to wait before the next attempt.
func (c *Caller) attempt(ctx context.Context, r *Record, l Load, e entry, t Try) (Try, time.Duration) {
	t.Entry, t.Verdict, t.Start = e.Name, "may-have-run", time.Now()
	// An entry answers by the deadline; the margin covers the way to the caller and back.
	ctx, cancel := context.WithTimeout(ctx, l.Timeout+patience)
	defer cancel()
	resp, body, sent, err := c.send(ctx, t.ID, l, e, t.Key)
	t.End = time.Now()
	if resp != nil {
		t.Status = resp.StatusCode
		t.Verdict, t.Reason = resp.Header.Get("Verdict"), resp.Header.Get("Reason")
		t.Target = resp.Header.Get("Served-By")
	}
	if err != nil {
		r.Short = r.Short || resp != nil
		t.Verdict, t.Reason, t.Detail = "may-have-run", "lost", err.Error()
		c.directory.avoid(e.Address)
		if errors.Is(err, context.DeadlineExceeded) {
			t.Reason = "timeout"
		}
		if !sent {
			t.Verdict, t.Reason = "not-run", "unreached"
		}
		return t, pause
	}
	if t.Verdict == "ran" && t.Status < 300 && c.s.Check != nil {
		if err := c.s.Check(t.ID, l, resp.Header, body); err != nil {
			r.Wrong = err.Error()
		}
	}
	return t, advised(resp.Header.Get("Retry-After"))
}

// send sends the request and reports whether any of it was written to a
// connection. The transport may replace a broken connection by a new one, so
// the error of the last dial alone would not prove that nothing was sent.
func (c *Caller) send(ctx context.Context, id string, l Load, e entry, key string) (resp *http.Response, body []byte, sent bool, err error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }})
	method, content := http.MethodGet, io.Reader(http.NoBody)
	if l.Kind != Read {
		method, content = http.MethodPost, bytes.NewReader(make([]byte, l.Body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+"/run/"+l.Service+"/"+c.s.Path(id, l), content)
	if err != nil {
		return nil, nil, false, err
	}
	req.Header = c.header()
	req.Header.Set("Timeout", strconv.FormatInt(l.Timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err = c.http.Do(req)
	if err != nil {
		return nil, nil, written.Load(), err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp, body, true, err
}

// advised returns the wait that a Retry-After header in seconds asks for.
func advised(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || s <= 0 {
		return pause
	}
	return min(time.Duration(s*float64(time.Second)), pauseLimit)
}
