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

// The bounds of a connection's life.
const (
	idleLimit  = 2 * time.Minute // a connection without traffic is closed
	retryFirst = 200 * time.Millisecond
	retryMost  = 30 * time.Second
)

var (
	errBackoff = errors.New("gossip: peer is in backoff after failed connections")
	errKey     = errors.New("gossip: peer does not know the key")
	errClosed  = errors.New("gossip: service is closed")
)

// link is the connection to one peer address, opened when it is needed. One call runs at a time; the turn is a
// channel and not a mutex, so that waiting for it ends with the caller's deadline.
type link struct {
	address netip.AddrPort
	service *Service
	turn    chan struct{}
	conn    atomic.Pointer[jsonrpc2.Conn]
	peer    atomic.Pointer[member.Member]
	closed  atomic.Bool
	delay   *backoff.ExponentialBackOff // used by the holder of the turn
	after   time.Time                   // used by the holder of the turn
}

func newLink(s *Service, address netip.AddrPort) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryFirst, retryMost
	b.Reset()
	return &link{address: address, service: s, delay: b, turn: make(chan struct{}, 1)}
}

func (l *link) lock(ctx context.Context) error {
	select {
	case l.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("gossip: %s: %w", l.address, ctx.Err())
	}
}

func (l *link) unlock() { <-l.turn }

// connect opens the connection when it is not open.
func (l *link) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.service.settings.Deadline)
	defer cancel()
	if err := l.lock(ctx); err != nil {
		return err
	}
	defer l.unlock()
	_, err := l.open(ctx)
	return err
}

// call sends a request and closes the connection when no answer comes within the deadline.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, l.service.settings.Deadline)
	defer cancel()
	if err := l.lock(ctx); err != nil {
		return err
	}
	defer l.unlock()
	conn, err := l.open(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var refusal *jsonrpc2.Error
	if err == nil || errors.As(err, &refusal) {
		return err
	}
	_ = conn.Close()
	l.conn.Store(nil)
	if errors.Is(err, context.DeadlineExceeded) {
		l.service.count.silent.Add(1)
		l.service.deps.Events.Log(event.PeerSilent, "peer", l.address, "method", method)
	}
	return fmt.Errorf("gossip: %s to %s: %w", method, l.address, err)
}

// open returns the open connection or makes a new one, unless the peer is in backoff. The caller has the turn.
func (l *link) open(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := l.conn.Load(); conn != nil {
		select {
		case <-conn.DisconnectNotify():
			l.conn.Store(nil)
		default:
			return conn, nil
		}
	}
	if l.closed.Load() {
		return nil, errClosed
	}
	if l.service.deps.Now().Before(l.after) {
		return nil, errBackoff
	}
	conn, err := l.dial(ctx)
	if err != nil {
		l.after = l.service.deps.Now().Add(l.delay.NextBackOff())
		return nil, err
	}
	l.delay.Reset()
	l.conn.Store(conn)
	if l.closed.Load() { // The service was closed during the dial.
		_ = conn.Close()
		return nil, errClosed
	}
	return conn, nil
}

func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	s := l.service
	raw, err := s.deps.Dial(ctx, "tcp", l.address.String())
	if err != nil {
		return nil, fmt.Errorf("gossip: %s: %w", l.address, err)
	}
	var limit atomic.Int64
	limit.Store(maxGreeting)
	conn := s.newConn(raw, false, &limit, refuseAll)
	if err := l.greet(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	limit.Store(maxFrame)
	return conn, nil
}

// greet proves the key to the peer and checks the peer's own proof.
func (l *link) greet(ctx context.Context, conn *jsonrpc2.Conn) error {
	s := l.service
	mine := newNonce()
	var answer helloForm
	if err := conn.Call(ctx, "hello", helloForm{Nonce: mine, Member: formOf(s.selfMember())}, &answer); err != nil {
		return fmt.Errorf("gossip: hello to %s: %w", l.address, err)
	}
	if !proves(s.settings.Key, labelServer, mine, answer.Nonce, answer.Proof) {
		s.count.refused.Add(1)
		s.deps.Events.Log(event.PeerRefused, "peer", l.address)
		return errKey
	}
	p := proof(s.settings.Key, labelClient, mine, answer.Nonce)
	if err := conn.Call(ctx, "prove", helloForm{Proof: p, Member: formOf(s.selfMember())}, nil); err != nil {
		return fmt.Errorf("gossip: prove to %s: %w", l.address, err)
	}
	m, err := answer.Member.member()
	if err != nil {
		return err
	}
	l.peer.Store(&m)
	s.merge([]member.Member{m})
	return nil
}

// name returns the name of the entry at the other end, or an empty string before the first connection.
func (l *link) name() string {
	if m := l.peer.Load(); m != nil {
		return m.Name()
	}
	return ""
}

func (l *link) close() {
	l.closed.Store(true)
	if conn := l.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// refuseAll answers calls on a connection that this entry opened; peers call on their own connections.
var refuseAll = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "call on your own connection"}
}).SuppressErrClosed()

// quiet drops the library's own log lines; late answers are counted instead.
var quiet = log.New(io.Discard, "", 0)
