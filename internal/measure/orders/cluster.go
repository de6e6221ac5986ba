package orders

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackspool/internal/request/ticket"
	standin "tamarackspool/internal/standin/store"
)

// membership is one version of the cluster's membership.
type membership struct {
	at             time.Time
	alive          []string
	outcomeHolders map[ticket.Incarnation][]string // outcomeHolders are the entries that hold the order outcomes of an incarnation.
}

// cluster is a set of simulated entries with their store, network and target.
type cluster struct {
	hooks      Hooks
	keys       *ticket.Key
	server     *standin.Server
	network    *network
	history    *history
	target     *target
	clockSkip  atomic.Int64 // clockSkip is by how much the entries' clocks are ahead of real time, in nanoseconds.
	startCount atomic.Uint64

	mu          sync.Mutex
	nodes       []*node
	successors  map[ticket.Incarnation][]string // successors are the entries that received the table of a stopped process.
	memberships []membership
}

func newCluster(seed uint64, entries int, h Hooks) *cluster {
	n, hist := newNetwork(seed), newHistory()
	c := &cluster{
		hooks: h, keys: ticket.NewKey([]byte("peer")), server: standin.New(standin.Settings{}),
		network: n, history: hist, target: &target{network: n, history: hist},
		successors: map[ticket.Incarnation][]string{}, nodes: make([]*node, entries),
	}
	for i := range c.nodes {
		c.startNode(i)
	}
	return c
}

// now returns the time on the entries' clocks.
func (c *cluster) now() time.Time { return time.Now().Add(time.Duration(c.clockSkip.Load())) }

// startNode starts a new process with empty memory under the entry's name.
func (c *cluster) startNode(i int) {
	var self ticket.Incarnation
	binary.BigEndian.PutUint64(self[:], c.startCount.Add(1))
	n := newNode(c, fmt.Sprintf("entry-%d", i), self, c.network.randomDuration(time.Second), c.hooks)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i] = n
	c.publishMembership()
}

// kill ends a process immediately.
func (c *cluster) kill(n *node) {
	n.killed.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishMembership()
}

// publishMembership appends the current membership; the caller holds c.mu.
func (c *cluster) publishMembership() {
	m := membership{at: time.Now(), outcomeHolders: map[ticket.Incarnation][]string{}}
	for _, n := range c.nodes {
		if n == nil || n.killed.Load() {
			continue
		}
		m.outcomeHolders[n.incarnation] = []string{n.name}
		if !n.leaving.Load() {
			m.alive = append(m.alive, n.name)
		}
	}
	for stopped, names := range c.successors {
		if len(m.outcomeHolders[stopped]) > 0 {
			continue
		}
		for _, name := range names {
			if slices.Contains(m.alive, name) {
				m.outcomeHolders[stopped] = append(m.outcomeHolders[stopped], name)
			}
		}
	}
	c.memberships = append(c.memberships, m)
}

// membershipAt returns the membership as it was the given time ago.
func (c *cluster) membershipAt(lag time.Duration) membership {
	limit := time.Now().Add(-lag)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range slices.Backward(c.memberships) {
		if !m.at.After(limit) {
			return m
		}
	}
	return c.memberships[0]
}

// runningNode returns the running process of the named entry, or nil.
func (c *cluster) runningNode(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n != nil && n.name == name && !n.killed.Load() {
			return n
		}
	}
	return nil
}

// randomEntry returns the index and the process of a random entry; the process is nil when it was killed.
func (c *cluster) randomEntry() (int, *node) {
	i := c.network.randomIndex(len(c.nodes))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[i].killed.Load() {
		return i, nil
	}
	return i, c.nodes[i]
}

// drainAndStop stops a process that is marked as leaving: it closes its table,
// hands it over to up to three other entries and ends the process after the given time.
func (c *cluster) drainAndStop(n *node, delay time.Duration) error {
	n.table.Close()
	n.yieldStep()
	lowestSerial := n.issuer.LowestValidSerial(c.now())
	n.yieldStep()
	data, err := n.table.Export(n.incarnation, lowestSerial)
	if err != nil {
		return err
	}
	for range 3 {
		_, successor := c.randomEntry()
		if successor == nil || successor == n || successor.leaving.Load() || c.network.happens(c.network.conditions().lossRate) {
			continue
		}
		if _, err := successor.handovers.Add(data, c.now()); err != nil {
			return err
		}
		c.mu.Lock()
		c.successors[n.incarnation] = append(c.successors[n.incarnation], successor.name)
		c.mu.Unlock()
	}
	c.mu.Lock()
	c.publishMembership()
	c.mu.Unlock()
	time.Sleep(delay)
	c.kill(n)
	return nil
}
