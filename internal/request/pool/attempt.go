package pool

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/head"
)

// State is the state of an attempt as the remote side reports it.
type State uint8

// The states of an attempt.
const (
	Unreachable State = iota // Unreachable means that there was no valid response.
	Unknown                  // Unknown means that the attempt has not arrived at the remote side.
	Running                  // Running means that the attempt has started.
	Done                     // Done means that the attempt has ended.
	Dropped                  // Dropped proves that the attempt has not started and never will, if the remote process ran when it was sent.
)

const (
	// probeTimeout is the timeout of the probe of an idle connection.
	probeTimeout = 2 * time.Second
	// lateAnswerTimeout is how long a connection waits for the response to a cancelled attempt.
	lateAnswerTimeout = 5 * time.Second
	// maxLateWaits is the maximum number of connections that wait for late responses.
	maxLateWaits = 256
	// maxShortBody is the maximum size in bytes of the response to a probe or a query.
	maxShortBody = 4 << 10
)

var statesByName = map[string]State{"unknown": Unknown, "running": Running, "done": Done, "dropped": Dropped}

// QueryAttempt queries the state of an attempt over a new connection.
func (p *Pool) QueryAttempt(ctx context.Context, address, attempt string) State {
	state, _ := p.sendQuery(ctx, http.MethodGet, address, attempt)
	return state
}

// CancelAttempt requests over a new connection that an attempt, which was sent at the given time, be dropped, and returns
// its state. What a process says that has started since then is Unknown: the one before it may have run the attempt.
func (p *Pool) CancelAttempt(ctx context.Context, address, attempt string, sent time.Time) State {
	state, uptime := p.sendQuery(ctx, http.MethodDelete, address, attempt)
	if state == Dropped && uptime < elapsedSince(sent) {
		return Unknown
	}
	return state
}

// elapsedSince returns the time since t by the steady clock or, if that stood still while the VM was suspended, by the time of day.
func elapsedSince(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// sendQuery returns the state of an attempt and how long the process that states it has run. It opens a new connection,
// because the pooled connections may be silent.
func (p *Pool) sendQuery(ctx context.Context, method, address, attempt string) (State, time.Duration) {
	a := p.addrPool(address)
	// A target with hundreds of waiting requests must not receive as many additional connections.
	select {
	case a.querySlots <- struct{}{}:
		defer func() { <-a.querySlots }()
	case <-ctx.Done():
		return Unreachable, 0
	}
	c, err := p.connect(ctx, a)
	if err != nil {
		return Unreachable, 0
	}
	defer c.close()
	data, err := p.doShortRequest(ctx, c, method, "/attempt/"+attempt)
	if err != nil {
		return Unreachable, 0
	}
	var answer struct {
		State string `json:"state"`
		Up    int64  `json:"up"` // Up is the time since the start of the process in milliseconds; 0 if it isn't stated.
	}
	if json.Unmarshal(data, &answer) != nil {
		return Unreachable, 0
	}
	return statesByName[answer.State], time.Duration(answer.Up) * time.Millisecond
}

// doShortRequest sends one request on the connection and returns the body of its short response.
func (p *Pool) doShortRequest(ctx context.Context, c *conn, method, target string) ([]byte, error) {
	c.begin(ctx)
	defer context.AfterFunc(ctx, c.interrupt)()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.addrPool.address+target, nil)
	if err != nil {
		return nil, err
	}
	for k, v := range p.settings.Header {
		r.Header[k] = v
	}
	if err := r.Write(c.bw); err != nil {
		return nil, err
	}
	if err := c.bw.Flush(); err != nil {
		return nil, err
	}
	if err := c.head.Expect(c.br); err != nil {
		p.rejectShortResponse(c, target, err)
		return nil, err
	}
	resp, err := c.readHead(r, p.settings.Head)
	if err != nil {
		p.rejectShortResponse(c, target, err)
		return nil, err
	}
	if resp.StatusCode < http.StatusOK || resp.ContentLength < 0 || resp.ContentLength > maxShortBody || resp.Close {
		return nil, errShortBody
	}
	return io.ReadAll(resp.Body)
}

// rejectShortResponse counts and logs the response to a probe or query if its head was the reason to reject it.
func (p *Pool) rejectShortResponse(c *conn, target string, err error) {
	p.countInvalid(err)
	if p.settings.Events == nil || !errors.Is(err, head.ErrInvalid) {
		return
	}
	p.invalidQueries.Do(func() {
		p.settings.Events.Log(event.QueryInvalid, "address", c.addrPool.address, "path", target, "err", err)
	})
}

// probe reports whether an idle connection still transmits data in both directions, and nothing but the answer to the probe.
func (p *Pool) probe(ctx context.Context, c *conn) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.doShortRequest(probeCtx, c, http.MethodGet, "/load")
	if err == nil && probeCtx.Err() == nil && c.alive() {
		return true
	}
	if ctx.Err() == nil && probeCtx.Err() != nil {
		p.silentConns.Add(1)
		c.addrPool.closeSilent(c)
		return false
	}
	c.addrPool.discardConn(c)
	return false
}

// awaitLateAnswer waits in the background for the response to a cancelled attempt, counts it and closes the connection.
// It reports whether it took over the connection.
func (p *Pool) awaitLateAnswer(c *conn, late Counter) bool {
	if p.lateWaits.Add(1) > maxLateWaits || !p.tryAddGoroutine() {
		p.lateWaits.Add(-1)
		return false
	}
	go func() {
		defer p.wg.Done()
		defer p.lateWaits.Add(-1)
		defer c.addrPool.discardConn(c)
		if c.waitForByte(time.Now().Add(lateAnswerTimeout)) {
			p.lateAnswers.Add(1)
			if late != nil {
				late.Inc(1)
			}
		}
	}()
	return true
}

// waitForByte reports whether a byte arrived before end. The cancellation of the request
// may set its own read deadline shortly afterwards, so a read that times out early is retried.
func (c *conn) waitForByte(end time.Time) bool {
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
