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

var errNoRoute = errors.New("network: no route")

// network connects services in memory and can cut, delay and silence their connections and duplicate answers.
type network struct {
	mu               sync.Mutex
	listeners        map[string]*listener
	dialed           []*dialedConn
	cut              func(from, to string) bool
	delay            func() time.Duration
	duplicateAnswers bool
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

// dialedConn is the dialing end of a connection.
type dialedConn struct {
	net.Conn
	network  *network
	from, to string
	mu       sync.Mutex
	silent   bool
}

// Write delays the data, or discards it on a silent or cut connection.
func (f *dialedConn) Write(p []byte) (int, error) {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent || f.network.isCut(f.from, f.to) {
		return len(p), nil
	}
	time.Sleep(f.network.nextDelay())
	return f.Conn.Write(p)
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// acceptedConn is the accepting end of a connection.
type acceptedConn struct {
	net.Conn
	network *network
}

// Write sends each message twice while duplicateAnswers is set.
func (a *acceptedConn) Write(p []byte) (int, error) {
	a.network.mu.Lock()
	duplicate := a.network.duplicateAnswers
	a.network.mu.Unlock()
	if n, err := a.Conn.Write(p); err != nil || !duplicate {
		return n, err
	}
	return a.Conn.Write(p)
}

// nextDelay returns the delay of the next write.
func (n *network) nextDelay() time.Duration {
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

func (n *network) silenceConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.dialed {
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
			return nil, errNoRoute
		}
		dialEnd, acceptEnd := net.Pipe()
		accepted := &acceptedConn{acceptEnd, n}
		select {
		case l.conns <- accepted:
		case <-l.done:
			return nil, errNoRoute
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		dialed := &dialedConn{Conn: dialEnd, network: n, from: from, to: to}
		n.mu.Lock()
		n.dialed = append(n.dialed, dialed)
		n.mu.Unlock()
		return dialed, nil
	}
}

// configHolder is a gossip.Holder that only adopts higher versions.
type configHolder struct {
	mu      sync.Mutex
	version uint64
	hash    [32]byte
	data    []byte
	floor   uint64
	adopted []uint64
}

func (h *configHolder) Raw() (uint64, [32]byte, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.hash, h.data
}

func (h *configHolder) Adopt(version uint64, hash [32]byte, data []byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version || hash != sha256.Sum256(data) {
		return false, nil
	}
	h.version, h.hash, h.data = version, hash, data
	h.adopted = append(h.adopted, version)
	return true, nil
}

func (h *configHolder) Raise(floor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = max(h.floor, floor)
}

func (h *configHolder) adoptedVersions() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.adopted)
}

func (h *configHolder) versionFloor() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floor
}

func (h *configHolder) set(version uint64) {
	data := fmt.Appendf(nil, "configuration %d", version)
	_, _ = h.Adopt(version, sha256.Sum256(data), data)
}

type eventCounter struct {
	mu     sync.Mutex
	counts map[event.Number]int
}

func (j *eventCounter) Log(n event.Number, _ ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[n]++
}

func (j *eventCounter) count(n event.Number) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts[n]
}

// node is one service of a fleet under test.
type node struct {
	*gossip.Service
	holder  *configHolder
	events  *eventCounter
	address string
	status  atomic.Pointer[func() []byte]
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

type fleet struct {
	t        *testing.T
	network  *network
	interval time.Duration // minimum interval of the nodes; 0 selects the default
	seeds    []netip.AddrPort
	nodes    []*node
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// newFleet starts a fleet of the given size, distributed over the regions.
func newFleet(t *testing.T, size, regions int) *fleet {
	f := &fleet{t: t, network: newNetwork()}
	f.startNodes(size, regions)
	return f
}

// startNodes starts the given number of nodes of a fleet that has none yet.
func (f *fleet) startNodes(size, regions int) {
	for i := range size {
		f.seeds = append(f.seeds, address(i))
	}
	for i := range size {
		f.nodes = append(f.nodes, f.start(i, regions, byte(1), "key"))
	}
}

func (f *fleet) start(i, regions int, incarnation byte, key string) *node {
	n := &node{holder: &configHolder{}, events: &eventCounter{counts: make(map[event.Number]int)}, address: address(i).String()}
	self := member.New(member.Fields{
		Name: fmt.Sprintf("entry-%03d", i), Incarnation: [16]byte{incarnation, byte(i)}, Zone: fmt.Sprintf("z%d", i%regions),
		Region: fmt.Sprintf("r%d", i%regions), PeerAddr: address(i), CallAddr: address(i),
	})
	n.Service = gossip.New(gossip.Settings{Self: self, Key: []byte(key), Seeds: f.seeds, Interval: f.interval}, gossip.Dependencies{
		Dial: f.network.dialer(n.address), Holder: n.holder, Now: time.Now, Seed: uint64(i + 1), Events: n.events,
		AcceptTickets: func(context.Context, member.Member, []byte) error { return nil },
		Status:        func() []byte { return (*n.status.Load())() },
	})
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	f.network.mu.Lock()
	f.network.listeners[n.address] = l
	f.network.mu.Unlock()
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

// countMembers counts the members in the state over the tables of all nodes.
func (f *fleet) countMembers(s member.State) int {
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

// state returns the state of the named member as judged by the node; an unknown member is reported as dead.
func (n *node) state(name string) member.State {
	for _, m := range n.Members() {
		if m.Name() == name {
			return m.State()
		}
	}
	return member.Dead
}
