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

var errLink = errors.New("orders: no answer from the store")

// link is an entry's connection to the store. It holds the calls of a paused
// entry back and sends none for an entry that was killed.
type link struct {
	node *node
	next http.RoundTripper
}

// RoundTrip carries out one call.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	if !l.node.step() {
		return nil, errLink
	}
	n := l.node.cluster.network
	time.Sleep(n.upTo(4 * time.Millisecond))
	if r.URL.Path == "/put" && n.chance(n.conditions().lag) {
		return nil, l.postpone(r)
	}
	resp, err := l.next.RoundTrip(r)
	if err == nil && !l.node.step() {
		return nil, errLink
	}
	return resp, err
}

// postpone applies a write later, after its sender was told that no answer came.
func (l link) postpone(r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	n := l.node.cluster.network
	n.calls.Go(func() {
		time.Sleep(n.upTo(400 * time.Millisecond))
		if resp, err := l.next.RoundTrip(late); err == nil {
			_ = resp.Body.Close() // A body in memory.
		}
	})
	return errLink
}
