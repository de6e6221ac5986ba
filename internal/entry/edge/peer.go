package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/internal/site/mirror"
)

// methodChanges asks a peer what changed after a revision.
const methodChanges = "changes"

// The messages between entries.
type (
	changesRequest struct {
		After uint64 `json:"after"`
	}
	changesAnswer struct {
		Items    []changedItem `json:"items"`
		Revision uint64        `json:"revision"`
		Whole    bool          `json:"whole"`
	}
	changedItem struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Removed  bool   `json:"removed,omitempty"`
	}
)

// peerIdle bounds how long a connection from a peer stays unused.
const peerIdle = 30 * time.Second

// servePeers answers other entries until the listener is closed.
func (e *Edge) servePeers(ctx context.Context) error {
	for {
		raw, err := e.listeners.peer.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(expireEvery)
			continue
		}
		_ = raw.SetDeadline(time.Now().Add(peerIdle))
		c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(e.answerPeer))
		go func() {
			select {
			case <-c.DisconnectNotify():
			case <-ctx.Done():
				_ = c.Close()
			}
		}()
	}
}

func (e *Edge) answerPeer(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodChanges || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "edge: method " + r.Method + " is unknown"}
	}
	var asked changesRequest
	if err := unmarshal(*r.Params, &asked); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	b := e.mirror.Since(asked.After)
	a := changesAnswer{Revision: b.Revision, Whole: b.Whole}
	for _, it := range b.Items {
		a.Items = append(a.Items, changedItem(it))
	}
	return a, nil
}

// peers chooses the peers that an entry asks.
type peers Edge

// Peer returns a random entry, or one of the seeds while no entry is known.
func (p *peers) Peer() mirror.Source {
	addresses := p.s.Seeds
	v := p.view.Load()
	if rand.N(2) == 0 {
		for _, o := range v.entries {
			if o.Name != p.s.Name {
				addresses = append(addresses[:len(addresses):len(addresses)], o.Peer)
			}
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return peer{address: addresses[rand.N(len(addresses))], dial: p.d.Dial}
}

// peer is another entry as a source of changes.
type peer struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Changes asks the peer; it does not wait for a change.
func (p peer) Changes(ctx context.Context, after uint64, _ time.Duration) (mirror.Batch, error) {
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return mirror.Batch{}, fmt.Errorf("edge: peer %s: %w", p.address, err)
	}
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(refuse))
	defer c.Close() //nolint:errcheck // the answer has been read or is given up
	var a changesAnswer
	if err := c.Call(ctx, methodChanges, changesRequest{After: after}, &a); err != nil {
		return mirror.Batch{}, fmt.Errorf("edge: peer %s: %w", p.address, err)
	}
	b := mirror.Batch{Revision: a.Revision, Whole: a.Whole}
	for _, it := range a.Items {
		b.Items = append(b.Items, mirror.Item(it))
	}
	return b, nil
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "edge: this side only asks"}
}
