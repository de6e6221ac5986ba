package gossip_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackspool/internal/fleet/gossip"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

var errCut = errors.New("network: no route")

// network connects in-memory services and can cut, delay and silence their connections.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*faulty
	cut       func(from, to string) bool
	delay     func() time.Duration
	repeat    bool
}

func newNetwork() *network { return &network{listeners: make(map[string]*listener)} }

type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// faulty is the dialling end of a connection.
type faulty struct {
	net.Conn
	n        *network
	from, to string
	mu       sync.Mutex
	silent   bool
}

// Write delays the bytes or, on a silent connection, accepts and loses them.
func (f *faulty) Write(p []byte) (int, error) {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent || f.n.isCut(f.from, f.to) {
		return len(p), nil
	}
	time.Sleep(f.n.lag())
	return f.Conn.Write(p)
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// answering is the accepting end of a connection.
type answering struct {
	net.Conn
	n *network
}

// Write sends each message twice while answers are repeated.
func (a *answering) Write(p []byte) (int, error) {
	a.n.mu.Lock()
	repeat := a.n.repeat
	a.n.mu.Unlock()
	if n, err := a.Conn.Write(p); err != nil || !repeat {
		return n, err
	}
	return a.Conn.Write(p)
}

// lag returns how long the next write takes.
func (n *network) lag() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delay == nil {
		return 0
	}
	return n.delay()
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil || n.isCut(from, to) {
			return nil, errCut
		}
		near, end := net.Pipe()
		far := &answering{end, n}
		select {
		case l.conns <- far:
		case <-l.done:
			return nil, errCut
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		f := &faulty{Conn: near, n: n, from: from, to: to}
		n.mu.Lock()
		n.conns = append(n.conns, f)
		n.mu.Unlock()
		return f, nil
	}
}

// holder is a configuration holder that never goes back.
type holder struct {
	mu      sync.Mutex
	version uint64
	hash    [32]byte
	data    []byte
	floor   uint64
	adopted []uint64
}

func (h *holder) Raw() (uint64, [32]byte, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.hash, h.data
}

func (h *holder) Adopt(version uint64, hash [32]byte, data []byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version || hash != sha256.Sum256(data) {
		return false, nil
	}
	h.version, h.hash, h.data = version, hash, data
	h.adopted = append(h.adopted, version)
	return true, nil
}

func (h *holder) Raise(floor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = max(h.floor, floor)
}

func (h *holder) history() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.adopted)
}

func (h *holder) lowest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floor
}

func (h *holder) set(version uint64) {
	data := fmt.Appendf(nil, "configuration %d", version)
	_, _ = h.Adopt(version, sha256.Sum256(data), data)
}

type journal struct {
	mu     sync.Mutex
	counts map[event.Number]int
}

func (j *journal) Log(n event.Number, _ ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[n]++
}

func (j *journal) count(n event.Number) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[n]
}

// node is one service of a fleet under test.
type node struct {
	*gossip.Service
	holder  *holder
	journal *journal
	address string
	status  atomic.Pointer[func() []byte]
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

type fleet struct {
	t        *testing.T
	net      *network
	interval time.Duration
	seeds    []netip.AddrPort
	nodes    []*node
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// newFleet starts size services spread over the regions.
func newFleet(t *testing.T, size, regions int) *fleet {
	f := &fleet{t: t, net: newNetwork()}
	f.grow(size, regions)
	return f
}

// grow starts size services in a fleet that has none.
func (f *fleet) grow(size, regions int) {
	for i := range size {
		f.seeds = append(f.seeds, address(i))
	}
	for i := range size {
		f.nodes = append(f.nodes, f.start(i, regions, byte(1), "key"))
	}
}

func (f *fleet) start(i, regions int, run byte, key string) *node {
	n := &node{holder: &holder{}, journal: &journal{counts: make(map[event.Number]int)}, address: address(i).String()}
	self := member.New(member.Fields{
		Name: fmt.Sprintf("entry-%03d", i), Incarnation: [16]byte{run, byte(i)}, Zone: fmt.Sprintf("z%d", i%regions),
		Region: fmt.Sprintf("r%d", i%regions), Peer: address(i), Call: address(i),
	})
	n.Service = gossip.New(gossip.Settings{Self: self, Key: []byte(key), Seeds: f.seeds, Interval: f.interval}, gossip.Dependencies{
		Dial: f.net.dialer(n.address), Holder: n.holder, Now: time.Now, Seed: uint64(i + 1), Events: n.journal,
		Tickets: func(context.Context, member.Member, []byte) error { return nil },
		Status:  func() []byte { return (*n.status.Load())() },
	})
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	f.net.mu.Lock()
	f.net.listeners[n.address] = l
	f.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wait.Go(func() { _ = n.Serve(ctx, l) })
	n.wait.Go(func() { _ = n.Run(ctx) })
	return n
}

func (n *node) stop() {
	n.cancel()
	n.wait.Wait()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	for _, n := range f.nodes {
		n.wait.Wait()
	}
}

// states counts the members in a state over all nodes' tables.
func (f *fleet) states(s member.State) int {
	total := 0
	for _, n := range f.nodes {
		for _, m := range n.Members() {
			if m.State() == s {
				total++
			}
		}
	}
	return total
}

func (n *node) state(name string) member.State {
	for _, m := range n.Members() {
		if m.Name() == name {
			return m.State()
		}
	}
	return member.Dead
}
