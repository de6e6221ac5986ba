package orders

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

var errStoreNoResponse = errors.New("orders: no answer from the store")

// storeTransport is an entry's HTTP transport to the store. It delays the calls of a
// paused entry and sends none for a killed one.
type storeTransport struct {
	node *node
	next http.RoundTripper
}

// RoundTrip performs one call, or applies a write later without a response.
func (t storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.node.yieldStep() {
		return nil, errStoreNoResponse
	}
	n := t.node.cluster.network
	time.Sleep(n.randomDuration(4 * time.Millisecond))
	if r.URL.Path == "/put" && n.happens(n.conditions().lateWriteRate) {
		return nil, t.applyLater(r)
	}
	resp, err := t.next.RoundTrip(r)
	if err == nil && !t.node.yieldStep() {
		return nil, errStoreNoResponse
	}
	return resp, err
}

// applyLater applies a write after its sender has already got an error for a missing response.
func (t storeTransport) applyLater(r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	// GotConn marks the call as sent, so the store client reports that the write may have been applied.
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	n := t.node.cluster.network
	n.pending.Go(func() {
		time.Sleep(n.randomDuration(400 * time.Millisecond))
		if resp, err := t.next.RoundTrip(late); err == nil {
			_ = resp.Body.Close() // The body is in memory.
		}
	})
	return errStoreNoResponse
}
