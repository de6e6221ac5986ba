package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tamarackspool/internal/request/head"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool maintains connections to any number of remote addresses and is safe for concurrent use.
type Pool struct {
	settings  Settings
	dial      Dial
	addrPools sync.Map // addrPools maps an address to its *addrPool.

	lateAnswers atomic.Int64
	silentConns atomic.Int64
	// invalidHeads counts the responses that were rejected because HTTP/1.1 does not allow their head or trailer section.
	invalidHeads atomic.Int64
	// invalidQueries limits the lines about rejected responses to probes and queries.
	invalidQueries rate.Sometimes
	lateWaits      atomic.Int64
	wg             sync.WaitGroup
	mu             sync.Mutex // mu guards closed together with wg.Add.
	closed         bool
}

// Counter is a counter metric; Inc must be safe for concurrent use.
type Counter interface{ Inc(n int64) }

// Call is one request to a remote address.
type Call struct {
	Address     string
	MaxConns    int           // MaxConns is the maximum number of connections to the address; 0 means the pool's setting.
	Attempt     string        // Attempt is the id of the request at the remote side; if it is empty, the state is never queried.
	ProbeIdle   bool          // ProbeIdle requires a probe of a connection that was idle for more than Settings.Idle.
	OwnConn     bool          // OwnConn requires a connection that carries no other request, before or after.
	Request     *http.Request // Request is written unchanged; its Body is streamed.
	HoldBody    bool          // HoldBody delays the body until a 100 Continue response arrives or one second has passed.
	LateCounter Counter       // LateCounter counts responses that arrive after the call was cancelled; it may be nil.
	// CloseAfter reports whether the connection carries no other request after the response; it may be nil.
	CloseAfter func(*http.Response) bool
}

// eventInterval is the shortest time between two lines about rejected responses to probes and queries.
const eventInterval = time.Second

// New returns a pool that opens connections with dial, or an error for invalid settings.
func New(s Settings, dial Dial) (*Pool, error) {
	s, err := s.Check()
	if err != nil {
		return nil, err
	}
	return &Pool{settings: s, dial: dial, invalidQueries: rate.Sometimes{First: 1, Interval: eventInterval}}, nil
}

// LateCount returns the number of responses that arrived after their attempt was cancelled.
func (p *Pool) LateCount() int64 { return p.lateAnswers.Load() }

// SilentCount returns the number of times that a connection was found silent.
func (p *Pool) SilentCount() int64 { return p.silentConns.Load() }

// InvalidHeadCount returns the number of responses that were rejected because HTTP/1.1 does not allow their head, such as
// one with whitespace in a field name.
func (p *Pool) InvalidHeadCount() int64 { return p.invalidHeads.Load() }

// countInvalid counts a response that was rejected with the error if it was for its head or trailer section.
func (p *Pool) countInvalid(err error) {
	if errors.Is(err, head.ErrInvalid) {
		p.invalidHeads.Add(1)
	}
}

// OpenCount returns the number of open connections to the address.
func (p *Pool) OpenCount(address string) int {
	v, ok := p.addrPools.Load(address)
	if !ok {
		return 0
	}
	a := v.(*addrPool)
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// CloseIdle closes connections that have been idle for Settings.Keep; the owner must call it periodically.
func (p *Pool) CloseIdle() {
	p.addrPools.Range(func(_, v any) bool {
		v.(*addrPool).closeExpired(p.settings.Keep)
		return true
	})
}

// Close closes all connections and waits until all goroutines of the pool have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.addrPools.Range(func(_, v any) bool {
		v.(*addrPool).closeAll()
		return true
	})
	p.wg.Wait()
}

func (p *Pool) addrPool(address string) *addrPool {
	if v, ok := p.addrPools.Load(address); ok {
		return v.(*addrPool)
	}
	v, _ := p.addrPools.LoadOrStore(address, &addrPool{
		address: address, open: make(map[*conn]bool), querySlots: make(chan struct{}, reservedConns),
	})
	return v.(*addrPool)
}

// tryAddGoroutine reports whether a goroutine of the pool may start; that goroutine must call wg.Done when it ends.
func (p *Pool) tryAddGoroutine() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	return true
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Pool) connect(ctx context.Context, a *addrPool) (*conn, error) {
	// The sequence number is assigned before the dial: a connection whose dial was in
	// progress when another one was found silent counts as older and is not reused.
	sequence := a.nextSequence()
	raw, err := p.dial(ctx, "tcp", a.address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, a, sequence, p.settings.Progress), nil
}

// acquire returns an idle or a new connection for the call.
func (p *Pool) acquire(ctx context.Context, c Call) (*conn, error) {
	limit := p.settings.Conns
	if c.MaxConns > 0 {
		limit = min(c.MaxConns, maxConns)
	}
	a := p.addrPool(c.Address)
	for {
		k, err := a.takeConn(ctx, max(1, limit-reservedConns), p.settings.Keep, c.OwnConn)
		if err != nil {
			return nil, err
		}
		if k == nil {
			k, err = p.connect(ctx, a)
			a.finishOpening(k)
			if err == nil && p.isClosed() {
				// Close may have closed the open connections before this one was among them.
				a.discardConn(k)
				return nil, errClosed
			}
			return k, err
		}
		if !c.ProbeIdle || time.Since(k.lastUsed) <= p.settings.Idle || p.probe(ctx, k) {
			return k, nil
		}
	}
}

var errClosed = errors.New("pool: closed")
