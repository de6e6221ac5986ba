package inbound_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tamarackspool/internal/request/inbound"
)

// restHandler answers every request with a body of which a rest is to be read, and counts the rests that are not closed
// and the answers that are not released.
type restHandler struct {
	*testHandler
	open *atomic.Int32
	held *atomic.Int32
}

// rest is a body that counts itself as open until it is closed.
type rest struct {
	io.Reader
	open   *atomic.Int32
	closed atomic.Bool
}

func (r *rest) Close() error {
	if !r.closed.Swap(true) {
		r.open.Add(-1)
	}
	return nil
}

func (d restHandler) Serve(ctx context.Context, q *inbound.Request) *inbound.Answer {
	if d.testHandler.Serve(ctx, q) == nil {
		return nil
	}
	d.open.Add(1)
	d.held.Add(1)
	return &inbound.Answer{
		Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 256<<10),
		BodyRest: &rest{Reader: strings.NewReader("rest"), open: d.open}, Length: -1,
		Release: func() { d.held.Add(-1) },
	}
}

// Guards against the rest of an answer that stays open, with the target's connection, when its caller has disconnected, and
// against one that counts as held in memory from then on.
func TestRestsOfAnswersAreClosedWithTheirConnection(t *testing.T) {
	for name, read := range map[string]int64{"before the answer": 0, "within the head": 5, "within the body": 100 << 10, "within the rest": 256<<10 + 100, "all": 600 << 10} {
		t.Run(name, func(t *testing.T) {
			var open, held atomic.Int32
			d := newTestHandler()
			runHandler(t, restHandler{d, &open, &held}, func(_ *inbound.Server, l *pipeListener) {
				c := l.dial()
				send(c, "GET /1ms HTTP/1.1\r\nHost: a\r\n\r\nGET /2ms HTTP/1.1\r\nHost: a\r\n\r\n")
				_, _ = io.CopyN(io.Discard, bufio.NewReaderSize(c, 1), read)
				time.Sleep(10 * time.Millisecond)
				_ = c.Close()
				time.Sleep(time.Minute)
				if n := open.Load(); n != 0 || len(d.served) != 2 {
					t.Errorf("%d rests of %d answers are open", n, len(d.served))
				}
				if n := held.Load(); n != 0 {
					t.Errorf("%d answers are held in memory", n)
				}
			})
		})
	}
}
