package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/config/current"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/entry/loan"
	"tamarackspool/internal/entry/operator"
	"tamarackspool/internal/entry/queue"
	"tamarackspool/internal/entry/setting"
	"tamarackspool/internal/fleet/gossip"
	"tamarackspool/internal/fleet/lookup"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/platform/roster"
	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/decision"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listen opens a listener on an address with a port, or with port 0 for any.
type Listen func(ctx context.Context, network, address string) (net.Listener, error)

// Dependencies are what a node needs from outside; zero values stand for the defaults.
type Dependencies struct {
	Dial   Dial   // Dial opens all connections of the node; nil means a plain dialer.
	Listen Listen // Listen opens the ports of the node; nil means those of the system.
	Events *event.Log
	// Hold is called before each tick and may block, as a pause of the process does; nil means that nothing holds ticks.
	Hold func(ctx context.Context)
}

// Node is one run of an entry. Run is called once; the other methods are safe for concurrent use.
type Node struct {
	s           setting.Settings
	d           Dependencies
	incarnation ticket.Incarnation
	began       time.Time
	metrics     metrics.Registry
	listeners   listeners
	client      *http.Client
	transport   *http.Transport

	current  *current.Current
	store    *store.Client
	history  *history.History
	follower *history.Follower
	roster   *roster.Client
	gossip   *gossip.Service
	lookups  *lookup.Directory
	core     *core.Core

	keys      *ticket.Key
	issuer    *order.Issuer
	orders    *order.Table
	handovers *order.Handovers
	registry  *order.Registry

	targets *pool.Pool
	entries *pool.Pool
	forward *forward.Forwarder

	operator *operator.API
	waiting  *queue.Queue
	book     *loan.Book

	snapshot atomic.Pointer[decision.Snapshot]
	view     atomic.Pointer[memberView]
	vms      atomic.Pointer[vmList]
	near     atomic.Pointer[nearness]
	reports  *reports
	flight   atomic.Int64
	leaving  atomic.Bool
	asked    atomic.Bool // asked means that the store and the peers were asked once since the start.
	push     chan struct{}
	drained  chan struct{}
	steps    tickState
}

// New returns a node whose listeners are open and that does nothing else yet.
func New(ctx context.Context, s setting.Settings, d Dependencies) (*Node, error) {
	if d.Events == nil {
		return nil, errors.New("node: Events is missing")
	}
	if d.Dial == nil {
		d.Dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	if d.Listen == nil {
		d.Listen = new(net.ListenConfig).Listen
	}
	if d.Hold == nil {
		d.Hold = func(context.Context) {}
	}
	n := &Node{
		s: s, d: d, began: time.Now(), metrics: metrics.NewRegistry(), current: current.New(), waiting: queue.New(),
		reports: newReports(), push: make(chan struct{}, 1), drained: make(chan struct{}),
	}
	n.view.Store(newMemberView(nil))
	if _, err := rand.Read(n.incarnation[:]); err != nil {
		return nil, fmt.Errorf("node: no random bytes: %w", err)
	}
	if err := n.listeners.open(ctx, s, d.Listen); err != nil {
		return nil, err
	}
	n.transport = &http.Transport{DialContext: d.Dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	n.client = &http.Client{Transport: n.transport}
	n.buildPlatform()
	n.buildFleet()
	n.buildOrders()
	if err := errors.Join(n.buildPath(), n.buildOperator()); err != nil {
		n.listeners.close()
		return nil, err
	}
	n.gauges()
	return n, nil
}

// dialTime bounds the opening of a connection.
const dialTime = 2 * time.Second

// buildPlatform makes the clients of the platform's services.
func (n *Node) buildPlatform() {
	base := n.s.Store()
	if base == "" {
		// Without a store every call fails at once and the configuration comes from peers.
		base = "http://0.0.0.0:0"
	}
	n.store = store.New(base, n.s.Storekey(), n.client)
	n.history = history.New(history.Settings{Store: n.store})
	n.follower = history.NewFollower(history.FollowerSettings{
		Source: n.history, Current: n.current, Log: n.d.Events,
		OnAdopted: func(uint64) { n.announce() },
	})
	if n.s.Roster() != "" {
		n.roster = roster.New(n.s.Roster(), n.client)
	}
}

// announce asks the pusher to tell peers of a new version.
func (n *Node) announce() {
	select {
	case n.push <- struct{}{}:
	default:
	}
}

func (n *Node) buildFleet() {
	self := member.New(member.Fields{
		Name: n.s.Name(), Incarnation: n.incarnation, Zone: n.s.Zone(), Region: n.s.Region(),
		CallAddr: n.listeners.call.address(), PeerAddr: n.listeners.peer.address(), RelayAddr: n.listeners.pass.address(),
	})
	n.gossip = gossip.New(
		gossip.Settings{Self: self, Key: []byte(n.s.Peerkey()), Seeds: n.s.Peers()},
		gossip.Dependencies{
			Dial: n.d.Dial, Holder: n.current, Now: time.Now, Seed: n.s.Seed(), Events: n.d.Events,
			AcceptTickets: n.inherit, Status: n.part,
		},
	)
	n.lookups = lookup.New(lookup.Settings{
		Entry: n.s.Name(), Zone: n.s.Zone(), Region: n.s.Region(), Seed: n.s.Seed(),
	})
	n.book = loan.New(n.s.Name(), n.s.Region())
	n.core = core.New(core.Settings{Entry: n.s.Name(), Region: n.s.Region(), Zone: n.s.Zone()})
}

// answerMemory bounds the recorded answers of orders in bytes, well below the 128 MB of a node.
const answerMemory = 32 << 20

// claimTime bounds each call to the store for a claim.
const claimTime = time.Second

func (n *Node) buildOrders() {
	n.keys = ticket.NewKey([]byte(n.s.Peerkey()))
	n.issuer = order.NewIssuer(n.keys, n.incarnation)
	n.orders = order.NewTable(order.Settings{MaxKeys: n.s.Keys(), MaxAnswerBytes: answerMemory})
	n.handovers = order.NewHandovers()
	claims := claim.New(claim.Settings{
		Owner: n.incarnation.String(), Retention: n.s.Retention(), MaxKeys: n.s.Keys(), CallTimeout: claimTime,
	}, n.store)
	n.registry = order.NewRegistry(n.s.Name(), n.keys, n.issuer, n.orders, n.handovers, homes{n}, claims)
}

// buildPath makes the pools and the forwarder.
func (n *Node) buildPath() error {
	var err error
	if n.targets, err = pool.New(pool.Settings{}, pool.Dial(n.d.Dial)); err != nil {
		return err
	}
	if n.entries, err = pool.New(pool.Settings{Header: forward.PeerHeader(n.s.Peerkey())}, pool.Dial(n.d.Dial)); err != nil {
		return err
	}
	n.forward, err = forward.New(forward.Settings{
		Name: n.s.Name(), Region: n.s.Region(), Key: n.s.Peerkey(), Header: n.s.Header(),
	}, forward.Dependencies{
		Chooser: chooser{n}, Peers: peers{n}, Deduplicator: orders{n}, Configuration: state{n}, Links: links{n}, HomeRegion: n.home,
		TargetPool: n.targets, EntryPool: n.entries, Log: n.d.Events, Metrics: n.metrics, Seed: n.s.Seed(), FreeSlots: n.free,
	})
	return err
}

// Name returns the entry's name.
func (n *Node) Name() string { return n.s.Name() }

// Addresses returns where callers, control messages, relayed requests and operators connect.
func (n *Node) Addresses() (call, peer, pass, admin string) {
	l := &n.listeners
	return l.call.Addr().String(), l.peer.Addr().String(), l.pass.Addr().String(), l.admin.Addr().String()
}

// Version returns the version of the configuration in force, or 0.
func (n *Node) Version() uint64 {
	v, _, _ := n.current.Raw()
	return v
}

// Ready reports whether the entry has a configuration that it may serve: it has
// asked for its floor and holds a version at or above it.
func (n *Node) Ready() bool { return n.asked.Load() && n.current.Ready() }

// Leaving reports whether a graceful shutdown has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Snapshot returns the newest decisions, or nil before the first tick.
func (n *Node) Snapshot() *decision.Snapshot { return n.snapshot.Load() }
