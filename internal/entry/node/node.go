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

// Dial opens a network connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listen opens a listener on an address; port 0 selects a free port.
type Listen func(ctx context.Context, network, address string) (net.Listener, error)

// Dependencies are the external functions and the event log that a node uses; Events is required, the others have defaults.
type Dependencies struct {
	Dial   Dial   // Dial opens all connections of the node; nil means a plain dialer.
	Listen Listen // Listen opens the ports of the node; nil means those of the system.
	Events *event.Log
	// BeforeTick is called before each tick and may block to simulate a pause of the process; nil means no delay.
	BeforeTick func(ctx context.Context)
}

// Node is one incarnation of an entry. Run is called once; the other methods are safe for concurrent use.
type Node struct {
	settings    setting.Settings
	deps        Dependencies
	incarnation ticket.Incarnation
	startedAt   time.Time
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

	ticketKey     *ticket.Key
	issuer        *order.Issuer
	orderTable    *order.Table
	handovers     *order.Handovers
	orderRegistry *order.Registry

	targetPool *pool.Pool
	entryPool  *pool.Pool
	forwarder  *forward.Forwarder

	operator  *operator.API
	waitQueue *queue.Queue
	loanBook  *loan.Book

	snapshot     atomic.Pointer[decision.Snapshot]
	view         atomic.Pointer[memberView]
	vms          atomic.Pointer[vmList]
	blocks       atomic.Pointer[loadedBlocks]
	reports      *reports
	inFlight     atomic.Int64
	leaving      atomic.Bool
	bootstrapped atomic.Bool // bootstrapped means that the store or a peer answered the latest bootstrap round, or that no peers are configured.
	pushSignal   chan struct{}
	drainDone    chan struct{}
	drained      atomic.Bool // drained is set when a planned stop has ended without being cut short.
	tickState    tickState
}

// New returns a node with open listeners that serves nothing until Run is called.
func New(ctx context.Context, s setting.Settings, d Dependencies) (*Node, error) {
	if d.Events == nil {
		return nil, errors.New("node: Events is missing")
	}
	if d.Dial == nil {
		d.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if d.Listen == nil {
		d.Listen = new(net.ListenConfig).Listen
	}
	if d.BeforeTick == nil {
		d.BeforeTick = func(context.Context) {}
	}
	n := &Node{
		settings: s, deps: d, startedAt: time.Now(), metrics: metrics.NewRegistry(), current: current.New(), waitQueue: queue.New(),
		reports: newReports(), pushSignal: make(chan struct{}, 1), drainDone: make(chan struct{}),
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
	if err := errors.Join(n.buildForwarding(), n.buildOperator()); err != nil {
		n.listeners.close()
		return nil, err
	}
	n.registerGauges()
	return n, nil
}

// dialTimeout bounds the time to open a connection.
const dialTimeout = 2 * time.Second

// buildPlatform creates the clients of the platform's services.
func (n *Node) buildPlatform() {
	base := n.settings.StoreURL()
	if base == "" {
		// Without a store every store call fails immediately and the configuration comes from peers.
		base = "http://0.0.0.0:0"
	}
	n.store = store.New(base, n.settings.StoreKey(), n.client)
	n.history = history.New(history.Settings{Store: n.store})
	n.follower = history.NewFollower(history.FollowerSettings{
		Source: n.history, Current: n.current, Log: n.deps.Events,
		OnAdopted: func(uint64) { n.requestPush() },
	})
	if n.settings.RosterURL() != "" {
		n.roster = roster.New(n.settings.RosterURL(), n.client)
	}
}

// requestPush makes pushLoop send the new configuration version to peers; it never blocks.
func (n *Node) requestPush() {
	select {
	case n.pushSignal <- struct{}{}:
	default:
	}
}

func (n *Node) buildFleet() {
	self := member.New(member.Fields{
		Name: n.settings.Name(), Incarnation: n.incarnation, Zone: n.settings.Zone(), Region: n.settings.Region(),
		CallAddr: n.listeners.call.address(), PeerAddr: n.listeners.peer.address(), RelayAddr: n.listeners.relay.address(),
	})
	n.gossip = gossip.New(
		gossip.Settings{Self: self, Key: []byte(n.settings.PeerKey()), Seeds: n.settings.PeerAddrs()},
		gossip.Dependencies{
			Dial: n.deps.Dial, Holder: n.current, Now: time.Now, Seed: n.settings.Seed(), Events: n.deps.Events,
			AcceptTickets: n.acceptTickets, Status: n.statusPart,
		},
	)
	n.lookups = lookup.New(lookup.Settings{
		Entry: n.settings.Name(), Zone: n.settings.Zone(), Region: n.settings.Region(), Seed: n.settings.Seed(),
	})
	n.loanBook = loan.New(n.settings.Name(), n.settings.Region())
	n.core = core.New(core.Settings{Entry: n.settings.Name(), Region: n.settings.Region(), Zone: n.settings.Zone()})
}

// maxAnswerBytes bounds the recorded answers of orders, well below the 128 MB of memory of a node.
const maxAnswerBytes = 32 << 20

// claimTimeout bounds each store call for a claim.
const claimTimeout = time.Second

func (n *Node) buildOrders() {
	n.ticketKey = ticket.NewKey([]byte(n.settings.PeerKey()))
	n.issuer = order.NewIssuer(n.ticketKey, n.incarnation)
	n.orderTable = order.NewTable(order.Settings{MaxKeys: n.settings.MaxOrderKeys(), MaxAnswerBytes: maxAnswerBytes})
	n.handovers = order.NewHandovers()
	claims := claim.New(claim.Settings{
		Owner: n.incarnation.String(), Retention: n.settings.Retention(), MaxKeys: n.settings.MaxOrderKeys(), CallTimeout: claimTimeout,
	}, n.store)
	n.orderRegistry = order.NewRegistry(n.settings.Name(), n.ticketKey, n.issuer, n.orderTable, n.handovers, ownerLookup{n}, claims)
}

// buildForwarding creates the connection pools and the forwarder.
func (n *Node) buildForwarding() error {
	var err error
	if n.targetPool, err = pool.New(pool.Settings{Events: n.deps.Events}, pool.Dial(n.deps.Dial)); err != nil {
		return err
	}
	if n.entryPool, err = pool.New(pool.Settings{Header: forward.PeerHeader(n.settings.PeerKey()), Events: n.deps.Events}, pool.Dial(n.deps.Dial)); err != nil {
		return err
	}
	n.forwarder, err = forward.New(forward.Settings{
		Name: n.settings.Name(), Region: n.settings.Region(), Key: n.settings.PeerKey(), Header: n.settings.MaxHeaderBytes(),
	}, forward.Dependencies{
		Chooser: chooser{n}, Peers: peers{n}, Deduplicator: deduplicator{n}, Configuration: state{n}, Links: links{n}, HomeRegion: n.homeRegion,
		TargetPool: n.targetPool, EntryPool: n.entryPool, Log: n.deps.Events, Metrics: n.metrics, Seed: n.settings.Seed(), FreeSlots: n.serviceFreeSlots,
	})
	return err
}

// Name returns the entry's name.
func (n *Node) Name() string { return n.settings.Name() }

// Addresses returns the addresses of the ports for callers, control messages, relayed requests and operators.
func (n *Node) Addresses() (call, peer, relay, admin string) {
	l := &n.listeners
	return l.call.Addr().String(), l.peer.Addr().String(), l.relay.Addr().String(), l.admin.Addr().String()
}

// Version returns the version of the configuration in force, or 0.
func (n *Node) Version() uint64 {
	v, _, _ := n.current.Raw()
	return v
}

// Ready reports whether the entry may serve with its configuration: it has asked the store or
// a peer for its floor, the lowest acceptable version, and holds a version at or above it.
func (n *Node) Ready() bool { return n.bootstrapped.Load() && n.current.Ready() }

// Leaving reports whether a graceful shutdown has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Snapshot returns the newest snapshot of steering decisions, or nil before the first tick.
func (n *Node) Snapshot() *decision.Snapshot { return n.snapshot.Load() }
