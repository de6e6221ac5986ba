package inbound

import (
	"net"
	"net/http"
	"time"
)

// writeAnswers writes the answers in the order of the requests.
func (c *conn) writeAnswers() {
	open := true
	for e := range c.queue {
		if !open {
			e.discardAnswer()
			c.markAnswered(e)
			continue
		}
		open = c.writeAnswer(e)
		c.lastWritten.Store(time.Now().UnixNano())
		if !open {
			// The connection is closed before this exchange counts as answered, because
			// otherwise a request that was read after it could still start.
			c.closeAfterAnswer()
		}
		c.markAnswered(e)
	}
}

func (c *conn) markAnswered(e *exchange) {
	if e.request == nil {
		return
	}
	c.mu.Lock()
	c.pending.Add(-1)
	c.pendingFell.Broadcast()
	c.mu.Unlock()
	if c.awaitingAnswers.Load() {
		c.interruptRead()
	}
}

// writeAnswer writes one answer and reports whether the connection stays open.
func (c *conn) writeAnswer(e *exchange) bool {
	if e.request == nil {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		return c.bw.Flush() == nil
	}
	a := c.awaitAnswer(e)
	if a == nil {
		return false
	}
	defer a.release()
	if a.BodyRest != nil {
		defer a.BodyRest.Close() //nolint:errcheck // what was read of it has been written
	}
	if c.ctx.Err() != nil {
		return false
	}
	closeConn := c.closesAfter(e, a)
	w := writer{bw: c.bw, raw: c.raw}
	if err := w.write(e.request, a, closeConn); err != nil {
		if a.OnWriteError != nil {
			a.OnWriteError(err)
		}
		if e.request.http10 && a.Length < 0 {
			c.reset()
		}
		return false
	}
	return !closeConn
}

// awaitAnswer waits for the exchange's answer and, once the connection has expired, no longer for one that is not ready.
func (c *conn) awaitAnswer(e *exchange) *Answer {
	select {
	case a := <-e.answer:
		return a
	case <-c.expired:
	}
	select {
	case a := <-e.answer:
		return a
	default:
	}
	e.discardAnswer()
	return EmptyAnswer(http.StatusGatewayTimeout)
}

// discardAnswer ends the exchange's answer, once there is one, without writing it.
func (e *exchange) discardAnswer() {
	if e.request == nil {
		return
	}
	go func() {
		a := <-e.answer
		if a == nil {
			return
		}
		a.release()
		if a.BodyRest != nil {
			_ = a.BodyRest.Close()
		}
	}()
}

// closesAfter decides whether the answer closes the connection; no request is admitted from then on. While draining, the
// connection stays open until the requests already admitted are answered, so that none is lost.
func (c *conn) closesAfter(e *exchange, a *Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.server.phase.Load() != serving && c.pending.Load() == 1
	closeConn := a.Close || e.request.closeRequested || e.request.http10 || last
	if closeConn {
		c.noMoreRequests.Store(true)
	}
	return closeConn
}

// reset closes the connection in a way that shows the caller a cut answer which only the end of the connection delimits.
func (c *conn) reset() {
	if t, ok := c.raw.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.abort()
}

// closeAfterAnswer closes the connection after its last answer.
func (c *conn) closeAfterAnswer() {
	c.noMoreRequests.Store(true)
	c.lastAnswerWritten.Store(true)
	if t, ok := c.raw.(*net.TCPConn); ok && c.ctx.Err() == nil {
		_ = t.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.cancel()
		return
	}
	c.cancel()
	_ = c.raw.Close()
}

// expire answers the requests in progress with a gateway timeout, so that answers held behind them can be delivered.
func (c *conn) expire() { c.expireOnce.Do(func() { close(c.expired) }) }
