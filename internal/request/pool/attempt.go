package pool

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// State is what the other side says about an attempt.
type State uint8

// The states of an attempt.
const (
	Unreachable State = iota // Unreachable means that there was no usable answer.
	Unknown                  // Unknown means that the attempt has not arrived.
	Running                  // Running means that the attempt has started.
	Done                     // Done means that the attempt has ended.
	Dropped                  // Dropped proves that the attempt has not started and never will.
)

const (
	// probeTime is how long an idle connection has to answer a probe.
	probeTime = 2 * time.Second
	// lingerTime is how long the answer to an abandoned attempt is waited for.
	lingerTime = 5 * time.Second
	// maxLingers bounds the connections that wait for late answers.
	maxLingers = 256
	maxState   = 4 << 10
)

var states = map[string]State{"unknown": Unknown, "running": Running, "done": Done, "dropped": Dropped}

// Ask asks about an attempt over a new connection.
func (p *Pool) Ask(ctx context.Context, address, attempt string) State {
	return p.side(ctx, http.MethodGet, address, attempt)
}

// Cancel has an attempt dropped, over a new connection.
func (p *Pool) Cancel(ctx context.Context, address, attempt string) State {
	return p.side(ctx, http.MethodDelete, address, attempt)
}

// side uses a connection of its own, because those of the pool may be the silent ones.
func (p *Pool) side(ctx context.Context, method, address, attempt string) State {
	t := p.path(address)
	// A target that makes hundreds of requests wait must not get as many connections on top.
	select {
	case t.side <- struct{}{}:
		defer func() { <-t.side }()
	case <-ctx.Done():
		return Unreachable
	}
	c, err := p.connect(ctx, t)
	if err != nil {
		return Unreachable
	}
	defer c.close()
	data, err := p.small(ctx, c, method, "/attempt/"+attempt)
	if err != nil {
		return Unreachable
	}
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &answer) != nil {
		return Unreachable
	}
	return states[answer.State]
}

// small makes one request with a short response on the connection.
func (p *Pool) small(ctx context.Context, c *conn, method, target string) ([]byte, error) {
	c.begin(ctx)
	defer context.AfterFunc(ctx, c.interrupt)()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.path.address+target, nil)
	if err != nil {
		return nil, err
	}
	for k, v := range p.s.Header {
		r.Header[k] = v
	}
	if err := r.Write(c.bw); err != nil {
		return nil, err
	}
	if err := c.bw.Flush(); err != nil {
		return nil, err
	}
	c.left = p.s.Head
	defer func() { c.left = -1 }()
	resp, err := http.ReadResponse(c.br, r)
	if err != nil {
		return nil, err
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxState || resp.Close {
		return nil, errHeader
	}
	return io.ReadAll(resp.Body)
}

// probe reports whether an idle connection still carries bytes both ways.
func (p *Pool) probe(ctx context.Context, c *conn) bool {
	within, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	_, err := p.small(within, c, http.MethodGet, "/load")
	if err == nil && within.Err() == nil {
		return true
	}
	if ctx.Err() == nil && within.Err() != nil {
		p.silences.Add(1)
		c.path.silence(c)
		return false
	}
	c.path.drop(c)
	return false
}

// linger waits for the answer to an abandoned attempt, counts it and drops it.
func (p *Pool) linger(c *conn, late Counter) bool {
	if p.lingers.Add(1) > maxLingers || !p.start() {
		p.lingers.Add(-1)
		return false
	}
	go func() {
		defer p.wg.Done()
		defer p.lingers.Add(-1)
		defer c.path.drop(c)
		if c.lateByte(time.Now().Add(lingerTime)) {
			p.late.Add(1)
			if late != nil {
				late.Inc(1)
			}
		}
	}()
	return true
}

// lateByte waits for a byte until end. The cancellation that led here may set
// its own deadline a moment later, so that an early timeout is repeated.
func (c *conn) lateByte(end time.Time) bool {
	var b [1]byte
	for time.Now().Before(end) {
		if c.raw.SetReadDeadline(end) != nil {
			return false
		}
		n, err := c.raw.Read(b[:])
		if n > 0 {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return false
		}
	}
	return false
}
