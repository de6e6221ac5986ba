package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// The idle timeout and the retry delays of connections.
const (
	idleTimeout   = 2 * time.Minute // a connection that receives nothing for this time is closed
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

var (
	errBackoff = errors.New("gossip: peer is in backoff after failed connection attempts")
	errPeerKey = errors.New("gossip: peer does not have the shared key")
	errClosed  = errors.New("gossip: service is closed")
)

// peerConn is the connection to one peer address, which is opened on demand. One call runs at a time. callSlot is a channel
// instead of a mutex, so that waiting for it ends at the caller's deadline.
type peerConn struct {
	address  netip.AddrPort
	service  *Service
	callSlot chan struct{}
	conn     atomic.Pointer[jsonrpc2.Conn]
	peer     atomic.Pointer[member.Member]
	closed   atomic.Bool
	backoff  *backoff.ExponentialBackOff // guarded by callSlot
	retryAt  time.Time                   // guarded by callSlot
}

func newPeerConn(s *Service, address netip.AddrPort) *peerConn {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval = minRetryDelay, maxRetryDelay
	backOff.Reset()
	return &peerConn{address: address, service: s, backoff: backOff, callSlot: make(chan struct{}, 1)}
}

func (c *peerConn) lock(ctx context.Context) error {
	select {
	case c.callSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("gossip: %s: %w", c.address, ctx.Err())
	}
}

func (c *peerConn) unlock() { <-c.callSlot }

// connect opens the connection if it is not open.
func (c *peerConn) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.service.settings.CallTimeout)
	defer cancel()
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	_, err := c.ensureOpen(ctx)
	return err
}

// call sends a request and waits for the answer. It closes the connection on failure, including a missed deadline, except
// if the peer answered with an error.
func (c *peerConn) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.service.settings.CallTimeout)
	defer cancel()
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	conn, err := c.ensureOpen(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var refusal *jsonrpc2.Error
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	_ = conn.Close()
	c.conn.Store(nil)
	if errors.Is(err, context.DeadlineExceeded) {
		c.service.counters.timedOutCalls.Add(1)
		c.service.deps.Events.Log(event.PeerSilent, "peer", c.address, "method", method)
	}
	return fmt.Errorf("gossip: %s to %s: %w", method, c.address, err)
}

// ensureOpen returns the open connection or dials a new one, unless the peer is in backoff. The caller holds callSlot.
func (c *peerConn) ensureOpen(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := c.conn.Load(); conn != nil {
		select {
		case <-conn.DisconnectNotify():
			c.conn.Store(nil)
		default:
			return conn, nil
		}
	}
	if c.closed.Load() {
		return nil, errClosed
	}
	if c.service.deps.Now().Before(c.retryAt) {
		return nil, errBackoff
	}
	conn, err := c.dial(ctx)
	if err != nil {
		c.retryAt = c.service.deps.Now().Add(c.backoff.NextBackOff())
		return nil, err
	}
	c.backoff.Reset()
	c.conn.Store(conn)
	if c.closed.Load() { // The service was closed during the dial.
		_ = conn.Close()
		return nil, errClosed
	}
	return conn, nil
}

func (c *peerConn) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	s := c.service
	raw, err := s.deps.Dial(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, fmt.Errorf("gossip: %s: %w", c.address, err)
	}
	var limit atomic.Int64
	limit.Store(maxHandshakeBytes)
	conn := s.newConn(raw, false, &limit, rejectCalls)
	if err := c.handshake(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	limit.Store(maxMessageBytes)
	return conn, nil
}

// handshake authenticates both sides to each other with the shared key.
func (c *peerConn) handshake(ctx context.Context, conn *jsonrpc2.Conn) error {
	s := c.service
	nonce := newNonce()
	var answer helloMessage
	if err := conn.Call(ctx, "hello", helloMessage{Nonce: nonce, Member: encodeMember(s.selfMember())}, &answer); err != nil {
		return fmt.Errorf("gossip: hello to %s: %w", c.address, err)
	}
	if !verifyProof(s.settings.Key, labelServer, nonce, answer.Nonce, answer.Proof) {
		s.counters.refusedConns.Add(1)
		s.deps.Events.Log(event.PeerRefused, "peer", c.address)
		return errPeerKey
	}
	p := proof(s.settings.Key, labelClient, nonce, answer.Nonce)
	if err := conn.Call(ctx, "prove", helloMessage{Proof: p, Member: encodeMember(s.selfMember())}, nil); err != nil {
		return fmt.Errorf("gossip: prove to %s: %w", c.address, err)
	}
	m, err := answer.Member.decode()
	if err != nil {
		return err
	}
	c.peer.Store(&m)
	s.mergeMembers([]member.Member{m})
	return nil
}

// peerName returns the name of the peer's entry, or an empty string before the first handshake.
func (c *peerConn) peerName() string {
	if m := c.peer.Load(); m != nil {
		return m.Name()
	}
	return ""
}

func (c *peerConn) close() {
	c.closed.Store(true)
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// rejectCalls rejects calls on a connection that the local entry opened; peers must call on their own connections.
var rejectCalls = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "call on your own connection"}
}).SuppressErrClosed()

// discardLogger discards the log lines of the jsonrpc2 library; late answers are counted instead.
var discardLogger = log.New(io.Discard, "", 0)
