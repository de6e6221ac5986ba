package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes connections on to one address; its faults may be switched at any time.
type Proxy struct {
	to    string
	l     net.Listener
	delay atomic.Int64 // delay is added to each chunk, in nanoseconds.
	cut   atomic.Bool  // cut has nothing pass in either direction, and no connection fail.
	mute  atomic.Bool  // mute has nothing pass back.

	mu    sync.Mutex
	links map[*link]bool
	wg    sync.WaitGroup
}

// link is one connection that is passed on.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
}

// New returns a proxy on a free loopback port that passes connections on to the address.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{to: to, l: l, links: make(map[*link]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// Delay adds d to everything that passes.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// Cut stops everything that passes, as a partition does, until it is called with false.
func (p *Proxy) Cut(on bool) { p.cut.Store(on) }

// Mute stops what passes back, as a partition in one direction does.
func (p *Proxy) Mute(on bool) { p.mute.Store(on) }

// Silence has the open connections carry nothing any more; new ones work.
func (p *Proxy) Silence() {
	p.each(func(l *link) { l.silent.Store(true) })
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.each(func(l *link) { l.reset() })
}

func (p *Proxy) each(f func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		f(l)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Reset()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		near, err := p.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			l := &link{near: near, far: near}
			l.reset()
			continue
		}
		l := &link{near: near, far: far}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		p.wg.Add(2)
		go p.pass(l, far, near, func() bool { return p.cut.Load() })
		go p.pass(l, near, far, func() bool { return p.cut.Load() || p.mute.Load() })
	}
}

// pass copies chunks until an end closes; while the way is shut they are held back.
func (p *Proxy) pass(l *link, to, from net.Conn, shut func() bool) {
	defer p.wg.Done()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for l.silent.Load() || shut() {
			if l.silent.Load() && err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
			if l.gone() {
				break
			}
		}
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !l.silent.Load() {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.end(l, errors.Is(err, io.EOF))
			return
		}
	}
}

// gone reports whether the link was ended by the other direction.
func (l *link) gone() bool {
	one := []byte{}
	_, err := l.near.Write(one)
	return errors.Is(err, net.ErrClosed)
}

func (p *Proxy) end(l *link, clean bool) {
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	if !clean {
		l.reset()
		return
	}
	_ = l.near.Close()
	_ = l.far.Close()
}

// reset closes both ends so that their other sides see a reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
