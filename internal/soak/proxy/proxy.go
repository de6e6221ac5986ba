package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to one address. Its faults may be switched at any time.
type Proxy struct {
	upstream          string
	l                 net.Listener
	delay             atomic.Int64 // delay is the added latency of each chunk in nanoseconds.
	partitioned       atomic.Bool  // partitioned holds back the bytes of both directions without closing connections.
	oneWayPartitioned atomic.Bool  // oneWayPartitioned holds back the bytes from the address to the clients.

	mu    sync.Mutex
	links map[*link]bool
	wg    sync.WaitGroup
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

// New returns a proxy on a free loopback port that forwards connections to the address.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{upstream: to, l: l, links: make(map[*link]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// SetDelay sets the latency that is added to each chunk in both directions.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetPartition sets whether the bytes of both directions are held back, as by a network partition.
func (p *Proxy) SetPartition(on bool) { p.partitioned.Store(on) }

// SetOneWayPartition sets whether the bytes towards the clients are held back, as by a one-way network partition.
func (p *Proxy) SetOneWayPartition(on bool) { p.oneWayPartitioned.Store(on) }

// Silence drops all further bytes of the open connections without closing them; new connections work.
func (p *Proxy) Silence() {
	p.eachLink(func(l *link) { l.silent.Store(true) })
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.eachLink(func(l *link) { l.reset() })
}

func (p *Proxy) eachLink(f func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		f(l)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Reset()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil {
			l := &link{client: client, server: client}
			l.reset()
			continue
		}
		l := &link{client: client, server: server}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		p.wg.Add(2)
		go p.forward(l, server, client, func() bool { return p.partitioned.Load() })
		go p.forward(l, client, server, func() bool { return p.partitioned.Load() || p.oneWayPartitioned.Load() })
	}
}

// forward copies chunks until one side closes. While blocked returns true, the chunks are held back.
func (p *Proxy) forward(l *link, to, from net.Conn, blocked func() bool) {
	defer p.wg.Done()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for l.silent.Load() || blocked() {
			if l.silent.Load() && err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
			if l.closed() {
				break
			}
		}
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !l.silent.Load() {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.closeLink(l, errors.Is(err, io.EOF))
			return
		}
	}
}

// closed reports whether the other direction has closed the link.
func (l *link) closed() bool {
	empty := []byte{}
	_, err := l.client.Write(empty)
	return errors.Is(err, net.ErrClosed)
}

func (p *Proxy) closeLink(l *link, clean bool) {
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	if !clean {
		l.reset()
		return
	}
	_ = l.client.Close()
	_ = l.server.Close()
}

// reset closes both sides so that their peers see a connection reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.client, l.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
