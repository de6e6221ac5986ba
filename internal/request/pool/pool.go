package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps the connections to any number of remote addresses and is safe for concurrent use.
type Pool struct {
	s     Settings
	dial  Dial
	paths sync.Map // paths maps an address to its *path.

	late     atomic.Int64
	silences atomic.Int64
	lingers  atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex // mu guards closed together with wg.Add.
	closed   bool
}

// Counter counts; it is safe for concurrent use.
type Counter interface{ Inc(n int64) }

// Call is one request to a remote address.
type Call struct {
	Address string
	Conns   int           // Conns is the most connections to the address; 0 means the pool's setting.
	Attempt string        // Attempt is the id under which the other side knows the request; empty asks nothing.
	Once    bool          // Once has an idle connection probed before it carries the request.
	Request *http.Request // Request is written as it is; its Body is streamed.
	Hold    bool          // Hold keeps the body back until the other side has asked for it or a second has passed.
	Late    Counter       // Late counts an answer that arrives after the call was abandoned; it may be nil.
}

// New returns a pool that opens connections by dial.
func New(s Settings, dial Dial) (*Pool, error) {
	s, err := s.Check()
	if err != nil {
		return nil, err
	}
	return &Pool{s: s, dial: dial}, nil
}

// Late returns how many answers arrived after their attempt was abandoned.
func (p *Pool) Late() int64 { return p.late.Load() }

// Silences returns how many connections were found silent.
func (p *Pool) Silences() int64 { return p.silences.Load() }

// Open returns the number of open connections to the address.
func (p *Pool) Open(address string) int {
	v, ok := p.paths.Load(address)
	if !ok {
		return 0
	}
	t := v.(*path)
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Expire closes connections that were unused for too long; the owner calls it now and then.
func (p *Pool) Expire() {
	p.paths.Range(func(_, v any) bool {
		v.(*path).expire(p.s.Keep)
		return true
	})
}

// Close closes all connections and waits until nothing of the pool runs.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.paths.Range(func(_, v any) bool {
		v.(*path).closeAll()
		return true
	})
	p.wg.Wait()
}

func (p *Pool) path(address string) *path {
	if v, ok := p.paths.Load(address); ok {
		return v.(*path)
	}
	v, _ := p.paths.LoadOrStore(address, &path{
		address: address, open: make(map[*conn]bool), side: make(chan struct{}, sideConns),
	})
	return v.(*path)
}

// start reports whether a goroutine of the pool may start; the caller then calls wg.Done at its end.
func (p *Pool) start() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	return true
}

func (p *Pool) connect(ctx context.Context, t *path) (*conn, error) {
	// The number is taken before dialling: a connection that was being opened
	// while another proved silent counts as older and is not trusted.
	born := t.next()
	raw, err := p.dial(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, t, born, p.s.Progress), nil
}

// acquire returns a connection that may carry the call.
func (p *Pool) acquire(ctx context.Context, c Call) (*conn, error) {
	limit := p.s.Conns
	if c.Conns > 0 {
		limit = min(c.Conns, maxConns)
	}
	t := p.path(c.Address)
	for {
		k, err := t.take(ctx, max(1, limit-sideConns), p.s.Keep)
		if err != nil {
			return nil, err
		}
		if k == nil {
			k, err = p.connect(ctx, t)
			t.opened(k)
			return k, err
		}
		if !c.Once || time.Since(k.used) <= p.s.Idle || p.probe(ctx, k) {
			return k, nil
		}
	}
}

var errClosed = errors.New("pool: closed")
