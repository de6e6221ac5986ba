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
	methodChanges = "changes" // methodChanges requests the changes after a position.
	methodCold    = "cold"    // methodCold informs a peer of a cold target.
)

// The messages between entries.
type (
	changesRequest struct {
		After uint64 `json:"after"`
		// Era is the era of the revision After. It is 0 when the asker knows none, also in the calls of earlier releases; the
		// revision is then taken for one of the peer's era.
		Era uint64 `json:"era,omitempty"`
		// Version is the version of the asker's configuration, which it states only while peers may keep a newer one that the
		// store has lost; 0 for none.
		Version uint64 `json:"version,omitempty"`
		Wait    int64  `json:"wait"` // Wait is the longest time in milliseconds to hold the call open for a change.
	}
	changesAnswer struct {
		Packed   []byte `json:"packed,omitempty"` // Packed is the compressed JSON of the changed items.
		Era      uint64 `json:"era,omitempty"`    // Era is the era of the revisions; 0 when the store states none.
		Revision uint64 `json:"revision"`
		Whole    bool   `json:"whole,omitempty"` // Whole is set when the items are a snapshot of all keys.
		Age      int64  `json:"age"`             // Age is the time in milliseconds since the peer last heard from the store.
		// Confirmed is the peer's confirmed age less the time for which it held the call open, in milliseconds, rounded up; nil
		// when the peer does not state it. One number for both keeps the answers short.
		Confirmed *int64 `json:"confirmed,omitempty"`
		Kept      []byte `json:"kept,omitempty"` // Kept is the compressed JSON of the items that the peer keeps of an earlier era.
	}
	changedItem struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Removed  bool   `json:"removed,omitempty"`
	}
)

// discardLogger drops the log lines of jsonrpc2: the follower logs the loss of a peer as an event.
var discardLogger = log.New(io.Discard, "", 0)

// maxChangesWait bounds how long a peer's call for changes is held open.
const maxChangesWait = 30 * time.Second

// servePeers serves the calls of other entries until the listener is closed.
func (e *Edge) servePeers(ctx context.Context) error {
	for {
		raw, err := e.listeners.peer.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(expiryInterval)
			continue
		}
		c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(e.peerTraffic.WrapConn(raw), jsonrpc2.VarintObjectCodec{}),
			jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(e.handlePeerCall)), jsonrpc2.SetLogger(discardLogger))
		go func() {
			select {
			case <-c.DisconnectNotify():
			case <-ctx.Done():
				_ = c.Close()
			}
		}()
	}
}

func (e *Edge) handlePeerCall(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "edge: " + r.Method + " has no parameters"}
	}
	switch r.Method {
	case methodChanges:
		var request changesRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return e.handleChanges(ctx, request)
	case methodCold:
		var c coldTarget
		if err := json.Unmarshal(*r.Params, &c); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		e.receiveCold(c)
		return struct{}{}, nil
	case methodQuota:
		var request quotaRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return e.grantTokens(request), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "edge: method " + r.Method + " is unknown"}
}

func (e *Edge) handleChanges(ctx context.Context, request changesRequest) (any, error) {
	received := e.deps.Uptime()
	after := mirror.Position{Era: e.mirror.Position().Era, Revision: request.After}
	if request.Era > 0 {
		after.Era = request.Era
		e.follower.RecordEra(after.Era)
	}
	if request.Wait > 0 {
		e.waitForChange(ctx, after, min(time.Duration(request.Wait)*time.Millisecond, maxChangesWait))
	}
	era := e.mirror.Position().Era
	// Both are determined before the changes are read, so that the answer holds all that its confirmed age promises.
	held := e.deps.Uptime() - received
	confirmed := (e.follower.ConfirmedAge() - held).Milliseconds() + 1
	answer, err := e.peerAnswers.changesAfter(e.mirror, after)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	if request.Version > 0 {
		if answer.Kept, err = compressItems(e.keptConfiguration(after.Era, request.Version)); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
	}
	answer.Age, answer.Confirmed = e.follower.Age().Milliseconds(), &confirmed
	if answer.Era != era {
		answer.Confirmed = nil // The confirmed age is that of the content of the earlier era.
	}
	return answer, nil
}

// waitForChange waits for a change after the position. An entry that reads the store
// for others stops waiting once it has not heard from the store for mirror.StaleAfter, so that the caller notices.
func (e *Edge) waitForChange(ctx context.Context, after mirror.Position, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	changed := e.mirror.ChangedAfter(after)
	for {
		until := wait
		if !e.view.Load().hasReader && e.follower.Age() < mirror.StaleAfter {
			until = mirror.StaleAfter - e.follower.Age()
		}
		t := time.NewTimer(until)
		select {
		case <-changed:
		case <-ctx.Done():
		case <-t.C:
			if e.follower.Age() < mirror.StaleAfter {
				continue
			}
		}
		t.Stop()
		return
	}
}

// peerSelector chooses the entries from which this one requests changes.
type peerSelector Edge

// Peer returns a random peer: with equal probability one of the seeds, or one of the seeds and
// the known entries. It returns nil when there is none.
func (p *peerSelector) Peer() mirror.Source {
	var addresses []string
	for _, a := range p.settings.SeedAddresses {
		if a != p.settings.PeerAddress {
			addresses = append(addresses, a)
		}
	}
	v := p.view.Load()
	if rand.N(2) == 0 {
		for _, o := range v.entries {
			if o.Name != p.settings.Name {
				addresses = append(addresses, o.Peer)
			}
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return &peer{address: addresses[rand.N(len(addresses))], dial: p.dialPeer, closeAfterCall: true, version: (*Edge)(p).statedVersion}
}

const (
	// readerWait is how long a reader holds a call open: short enough that a reader that
	// has stopped is noticed before a new configuration version arrives late.
	readerWait = 500 * time.Millisecond
	// largeRegionWait is the same in a region of many entries, where the calls add up to more bytes.
	largeRegionWait = time.Second
)

// Reader returns the entry that reads the store for this one.
func (p *peerSelector) Reader() mirror.Reader {
	v := p.view.Load()
	if !v.hasReader {
		return mirror.Reader{}
	}
	chosen := v.reader
	if p.readerPeer == nil || p.readerPeer.address != chosen.Entry.Peer {
		if p.readerPeer != nil {
			p.readerPeer.close()
		}
		p.readerPeer = &peer{address: chosen.Entry.Peer, dial: p.dialPeer, version: (*Edge)(p).statedVersion}
	}
	wait := readerWait
	if chosen.LargeRegion {
		wait = largeRegionWait
	}
	return mirror.Reader{Source: p.readerPeer, Hops: chosen.Hops, Wait: wait}
}

// peer is a client of another entry; it is not safe for concurrent use.
type peer struct {
	address        string
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	closeAfterCall bool // closeAfterCall closes the connection after each call.
	conn           *jsonrpc2.Conn
	// version returns the version to state in calls for changes; nil where the peer is not asked for them.
	version func() uint64
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// Changes requests the changes after a position; the peer holds the call open until there are any or the wait has passed.
func (p *peer) Changes(ctx context.Context, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	var a changesAnswer
	request := changesRequest{After: after.Revision, Era: after.Era, Wait: wait.Milliseconds(), Version: p.version()}
	if err := p.call(ctx, methodChanges, request, &a); err != nil {
		return mirror.Batch{}, err
	}
	items, err := decompressItems(a.Packed)
	kept, keptErr := decompressItems(a.Kept)
	if err = errors.Join(err, keptErr); err != nil {
		return mirror.Batch{}, fmt.Errorf("edge: peer %s: %w", p.address, err)
	}
	b := mirror.Batch{
		Items: items, Era: a.Era, Revision: a.Revision, Snapshot: a.Whole, Age: time.Duration(a.Age) * time.Millisecond,
		Kept: kept, Unconfirmed: a.Confirmed == nil,
	}
	if a.Confirmed != nil {
		b.ConfirmedAge, b.Held = time.Duration(max(0, *a.Confirmed))*time.Millisecond, time.Duration(max(0, -*a.Confirmed))*time.Millisecond
	}
	return b, nil
}

// call calls a method of the peer and connects to it first if there is no connection.
func (p *peer) call(ctx context.Context, method string, params, result any) error {
	if p.conn == nil {
		raw, err := p.dial(ctx, "tcp", p.address)
		if err != nil {
			return fmt.Errorf("edge: peer %s: %w", p.address, err)
		}
		p.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(rejectPeerCall),
			jsonrpc2.SetLogger(discardLogger))
	}
	err := p.conn.Call(ctx, method, params, result)
	if err != nil || p.closeAfterCall {
		p.close()
	}
	if err != nil {
		return fmt.Errorf("edge: peer %s: %w", p.address, err)
	}
	return nil
}

func rejectPeerCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "edge: the client side of the connection serves no methods"}
}
