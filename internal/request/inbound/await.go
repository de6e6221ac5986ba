package inbound

import (
	"errors"
	"net"
	"time"
)

// awaitRequest waits for the first byte of a request. It returns false when the
// connection is to be closed, and cancels the requests in progress when the caller has disconnected.
func (c *conn) awaitRequest() bool {
	for {
		if c.noMoreRequests.Load() {
			c.awaitClose()
			return false
		}
		if c.server.phase.Load() == closing && c.pending.Load() == 0 {
			return c.awaitArrived()
		}
		limit := c.server.handler.Limits().IdleTimeout
		_ = c.raw.SetReadDeadline(time.Now().Add(limit))
		if c.server.phase.Load() == closing && c.pending.Load() == 0 {
			c.interruptRead()
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			c.cancel()
			return false
		}
		if c.server.phase.Load() == closing {
			c.awaitAnswers()
			continue
		}
		if c.pending.Load() == 0 && time.Since(time.Unix(0, c.lastWritten.Load())) >= limit {
			return false
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// awaitArrived waits, while the server closes, for a request that has already arrived or is on its way, and
// reports whether there is one: a connection that has just been accepted gets time for its first request.
func (c *conn) awaitArrived() bool {
	end := time.Now().Add(arrivedTimeout)
	if first := c.accepted.Add(firstRequestTimeout); c.requests == 0 && first.After(end) {
		end = first
	}
	for {
		_ = c.raw.SetReadDeadline(end)
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) {
			c.cancel()
			return false
		}
		// Close may have interrupted the read.
		if !time.Now().Before(end) {
			return false
		}
	}
}

// awaitClose reads and discards bytes after the last request, to detect that the
// caller disconnects, until the last answer has been written and the caller has closed.
func (c *conn) awaitClose() {
	var scratch [512]byte
	for {
		if c.lastAnswerWritten.Load() {
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		} else {
			_ = c.raw.SetReadDeadline(time.Now().Add(c.server.handler.Limits().IdleTimeout))
		}
		_, err := c.br.Read(scratch[:])
		var timeout net.Error
		switch {
		case err == nil:
		case !c.lastAnswerWritten.Load() && errors.As(err, &timeout) && timeout.Timeout():
			// Another goroutine interrupted the read to have the state checked again.
		default:
			c.cancel()
			return
		}
	}
}

// awaitAnswers waits until every exchange is answered. It keeps reading meanwhile, so
// that a disconnect is detected as long as the caller has sent no further bytes.
func (c *conn) awaitAnswers() {
	c.awaitingAnswers.Store(true)
	defer c.awaitingAnswers.Store(false)
	for c.pending.Load() > 0 && c.ctx.Err() == nil {
		if c.br.Buffered() > 0 {
			c.awaitNextAnswer()
			continue
		}
		_ = c.raw.SetReadDeadline(time.Time{})
		if c.pending.Load() == 0 {
			return
		}
		_, err := c.br.Peek(1)
		var timeout net.Error
		if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
			c.cancel()
			return
		}
	}
}

// awaitNextAnswer waits until one of the pending exchanges is answered.
func (c *conn) awaitNextAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := c.pending.Load(); n > 0 && c.pending.Load() == n && c.ctx.Err() == nil; {
		c.pendingFell.Wait()
	}
}
