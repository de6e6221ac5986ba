package network

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// ErrCut is the error of a dial between two places that can't reach each other.
var ErrCut = errors.New("network: no route between the places")

// cutDialTimeout is the time after which a dial between places that are cut off
// fails, like a connection attempt without any response.
const cutDialTimeout = time.Second

// Network connects named places and is safe for concurrent use.
type Network struct {
	s         Settings
	mu        sync.Mutex
	random    *rand.Rand
	places    map[string]Place
	redirects map[string]string // redirects holds the present listen address of each redirected address.
	cuts      map[Pair]bool     // cuts holds the partitions; a pair names regions, zones or places here, in any order.
	links     map[Pair]*link
	conns     map[*conn]struct{}
	closed    bool
	wg        sync.WaitGroup
}

// New returns a network without places.
func New(s Settings) *Network {
	if s.Dial == nil {
		s.Dial = TCP{}.Dial
	}
	return &Network{
		s:         s,
		random:    rand.New(rand.NewPCG(s.Seed, 0x6e6574)),
		places:    make(map[string]Place),
		redirects: make(map[string]string),
		cuts:      make(map[Pair]bool),
		links:     make(map[Pair]*link),
		conns:     make(map[*conn]struct{}),
	}
}

// Bind sets the place that listens on the address.
func (n *Network) Bind(address string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = p
}

// Redirect redirects dials of the address to the one on which its process now listens.
func (n *Network) Redirect(address, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.redirects[address] = to
}

// Dialer returns a dial function for connections from p.
func (n *Network) Dialer(p Place) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return n.dial(ctx, p, network, address)
	}
}

func (n *Network) dial(ctx context.Context, from Place, network, address string) (net.Conn, error) {
	n.mu.Lock()
	to, known := n.places[address]
	cut := n.cutBetween(from, to)
	if redirected, ok := n.redirects[address]; ok {
		address = redirected
	}
	n.mu.Unlock()
	if !known {
		to = from
	}
	if cut {
		if err := sleep(ctx, cutDialTimeout); err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %s to %s", ErrCut, from.Name, to.Name)
	}
	// A TCP handshake takes one round trip.
	if err := sleep(ctx, 2*n.randomDelay(from, to)); err != nil {
		return nil, err
	}
	c, err := n.s.Dial(ctx, from.Address, network, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(c, from, to)
}

// wrap wraps an open connection and starts its send and receive goroutines.
func (n *Network) wrap(inner net.Conn, from, to Place) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	c := newConn(n, inner, from, to, n.link(from, to), n.link(to, from))
	n.conns[c] = struct{}{}
	n.wg.Add(2)
	go c.send()
	go c.receive()
	return c, nil
}

// link returns the shared link of the directed pair of regions, or nil within a region and for clients; n.mu is held.
func (n *Network) link(from, to Place) *link {
	if from.isClient() || to.isClient() || from.Region == to.Region {
		return nil
	}
	p := Pair{from.Region, to.Region}
	l, ok := n.links[p]
	if !ok {
		l = newLink(n.s.RateLimits[p])
		n.links[p] = l
	}
	return l
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// randomDelay returns a one-way delay with jitter and, at the loss rate, the delay of a retransmission.
func (n *Network) randomDelay(from, to Place) time.Duration {
	d := n.s.delay(from, to)
	if d == 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	total := d + time.Duration(n.random.Float64()*n.s.Jitter*float64(d))
	if n.random.Float64() < n.s.LossRate {
		total += max(2*d, minRetransmitDelay)
	}
	return total
}

// Cut partitions two regions, zones or places: dials between them fail and
// existing connections go silent. Heal ends the partition for new connections.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[Pair{a, b}] = true
	for c := range n.conns {
		if n.cutBetween(c.from, c.to) {
			c.silence()
		}
	}
}

// Heal ends the partition between the pair.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, Pair{a, b})
	delete(n.cuts, Pair{b, a})
}

// Silence makes the existing connections between two regions, zones or places
// drop all bytes without closing them; new connections work. It returns the
// number of connections that went silent.
func (n *Network) Silence(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if joins(c.from, c.to, a, b) {
			c.silence()
			count++
		}
	}
	return count
}

// LinkTraffic returns the traffic of each directed pair of regions so far.
func (n *Network) LinkTraffic() map[Pair]LinkTraffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	traffic := make(map[Pair]LinkTraffic, len(n.links))
	for p, l := range n.links {
		traffic[p] = l.traffic()
	}
	return traffic
}

// Close aborts all connections and waits until their goroutines have ended.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for c := range n.conns {
		c.abort()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// cutBetween reports whether the places are partitioned from each other; n.mu is held.
func (n *Network) cutBetween(x, y Place) bool {
	for p := range n.cuts {
		if joins(x, y, p.From, p.To) {
			return true
		}
	}
	return false
}

// joins reports whether one place is in a and the other in b.
func joins(x, y Place, a, b string) bool {
	return (x.in(a) && y.in(b)) || (x.in(b) && y.in(a))
}

// in reports whether name is the place, its zone or its region.
func (p Place) in(name string) bool {
	return name != "" && (p.Name == name || p.Zone == name || p.Region == name)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
