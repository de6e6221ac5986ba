package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/internal/site/mirror"
)

const (
	methodChanges = "changes" // methodChanges asks a peer what changed after a revision.
	methodCold    = "cold"    // methodCold tells a peer of a cold target.
)

// The messages between entries.
type (
	changesRequest struct {
		After uint64 `json:"after"`
		Wait  int64  `json:"wait"` // Wait is in milliseconds.
	}
	changesAnswer struct {
		Packed   []byte `json:"packed,omitempty"` // Packed is the compressed JSON of the changed items.
		Revision uint64 `json:"revision"`
		Whole    bool   `json:"whole,omitempty"`
		Age      int64  `json:"age"` // Age is in milliseconds.
	}
	changedItem struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Removed  bool   `json:"removed,omitempty"`
	}
)

// quiet drops the library's own lines: a peer that goes away is an event of the follower.
var quiet = log.New(io.Discard, "", 0)

// peerIdle bounds how long a call of a peer is held open.
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
		c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(e.peerTraffic.Conn(raw), jsonrpc2.VarintObjectCodec{}),
			jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(e.answerPeer)), jsonrpc2.SetLogger(quiet))
		go func() {
			select {
			case <-c.DisconnectNotify():
			case <-ctx.Done():
				_ = c.Close()
			}
		}()
	}
}

func (e *Edge) answerPeer(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "edge: " + r.Method + " has no parameters"}
	}
	switch r.Method {
	case methodChanges:
		var asked changesRequest
		if err := json.Unmarshal(*r.Params, &asked); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return e.answerChanges(ctx, asked)
	case methodCold:
		var c coldTarget
		if err := json.Unmarshal(*r.Params, &c); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		e.told(c)
		return struct{}{}, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "edge: method " + r.Method + " is unknown"}
}

func (e *Edge) answerChanges(ctx context.Context, asked changesRequest) (any, error) {
	if asked.Wait > 0 {
		e.hold(ctx, asked.After, min(time.Duration(asked.Wait)*time.Millisecond, peerIdle))
	}
	a, err := e.packs.answer(e.mirror, asked.After)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	a.Age = e.follower.Age().Milliseconds()
	return a, nil
}

// hold waits for a change beyond the revision. An entry that reads the store
// for the asking one stops waiting once it has lost touch with the store.
func (e *Edge) hold(ctx context.Context, after uint64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	moved := e.mirror.Moved(after)
	for {
		until := wait
		if !e.view.Load().led && e.follower.Age() < mirror.Stale {
			until = mirror.Stale - e.follower.Age()
		}
		t := time.NewTimer(until)
		select {
		case <-moved:
		case <-ctx.Done():
		case <-t.C:
			if e.follower.Age() < mirror.Stale {
				continue
			}
		}
		t.Stop()
		return
	}
}

// peers chooses the entries that this one asks.
type peers Edge

// Peer returns a random entry, or one of the seeds while no entry is known.
func (p *peers) Peer() mirror.Source {
	var addresses []string
	for _, a := range p.s.Seeds {
		if a != p.s.Peer {
			addresses = append(addresses, a)
		}
	}
	v := p.view.Load()
	if rand.N(2) == 0 {
		for _, o := range v.entries {
			if o.Name != p.s.Name {
				addresses = append(addresses, o.Peer)
			}
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return &peer{address: addresses[rand.N(len(addresses))], dial: p.dialPeer, once: true}
}

const (
	// readerWait is how long the entry that reads for others holds a call open,
	// so that one that has stopped is noticed before a version is late.
	readerWait = 500 * time.Millisecond
	// manyWait is the same in a region of many entries, as each call has its bytes.
	manyWait = time.Second
)

// Reader returns the entry that reads the store for this one.
func (p *peers) Reader() mirror.Reader {
	v := p.view.Load()
	if !v.led {
		return mirror.Reader{}
	}
	chosen := v.reader
	if p.reader == nil || p.reader.address != chosen.Entry.Peer {
		if p.reader != nil {
			p.reader.close()
		}
		p.reader = &peer{address: chosen.Entry.Peer, dial: p.dialPeer}
	}
	wait := readerWait
	if chosen.Many {
		wait = manyWait
	}
	return mirror.Reader{Source: p.reader, Between: chosen.Between, Wait: wait}
}

// peer is another entry as a source of changes; one goroutine asks it at a time.
type peer struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	once    bool // once has the connection closed behind each answer.
	conn    *jsonrpc2.Conn
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// Changes asks the peer, which holds the call open until something changes or the wait has passed.
func (p *peer) Changes(ctx context.Context, after uint64, wait time.Duration) (mirror.Batch, error) {
	var a changesAnswer
	if err := p.call(ctx, methodChanges, changesRequest{After: after, Wait: wait.Milliseconds()}, &a); err != nil {
		return mirror.Batch{}, err
	}
	items, err := unpack(a.Packed)
	if err != nil {
		return mirror.Batch{}, fmt.Errorf("edge: peer %s: %w", p.address, err)
	}
	return mirror.Batch{Items: items, Revision: a.Revision, Whole: a.Whole, Age: time.Duration(a.Age) * time.Millisecond}, nil
}

// call calls a method of the peer.
func (p *peer) call(ctx context.Context, method string, asked, answer any) error {
	if p.conn == nil {
		raw, err := p.dial(ctx, "tcp", p.address)
		if err != nil {
			return fmt.Errorf("edge: peer %s: %w", p.address, err)
		}
		p.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(refuse),
			jsonrpc2.SetLogger(quiet))
	}
	err := p.conn.Call(ctx, method, asked, answer)
	if err != nil || p.once {
		p.close()
	}
	if err != nil {
		return fmt.Errorf("edge: peer %s: %w", p.address, err)
	}
	return nil
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "edge: this side only asks"}
}
