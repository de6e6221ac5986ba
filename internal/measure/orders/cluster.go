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

// members is one version of the membership.
type members struct {
	at      time.Time
	alive   []string
	holders map[ticket.Incarnation][]string
}

// cluster is a set of entries with their store, network and target.
type cluster struct {
	hooks   Hooks
	keys    *ticket.Key
	server  *standin.Server
	network *network
	history *history
	target  *target
	skipped atomic.Int64 // skipped is how far the entries' clock is ahead of the real one.
	started atomic.Uint64

	mu         sync.Mutex
	nodes      []*node
	successors map[ticket.Incarnation][]string
	versions   []members
}

func newCluster(seed uint64, entries int, h Hooks) *cluster {
	n, hist := newNetwork(seed), newHistory()
	c := &cluster{
		hooks: h, keys: ticket.NewKey([]byte("peer")), server: standin.New(standin.Settings{}),
		network: n, history: hist, target: &target{network: n, history: hist},
		successors: map[ticket.Incarnation][]string{}, nodes: make([]*node, entries),
	}
	for i := range c.nodes {
		c.start(i)
	}
	return c
}

// now returns the time on the entries' clocks.
func (c *cluster) now() time.Time { return time.Now().Add(time.Duration(c.skipped.Load())) }

// start runs a new process with empty memory under the name of the entry.
func (c *cluster) start(i int) {
	var self ticket.Incarnation
	binary.BigEndian.PutUint64(self[:], c.started.Add(1))
	n := newNode(c, fmt.Sprintf("entry-%d", i), self, c.network.upTo(time.Second), c.hooks)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i] = n
	c.publish()
}

// kill ends a process at once.
func (c *cluster) kill(n *node) {
	n.dead.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
}

// publish appends the present membership; the caller holds the lock.
func (c *cluster) publish() {
	m := members{at: time.Now(), holders: map[ticket.Incarnation][]string{}}
	for _, n := range c.nodes {
		if n == nil || n.dead.Load() {
			continue
		}
		m.holders[n.self] = []string{n.name}
		if !n.leaving.Load() {
			m.alive = append(m.alive, n.name)
		}
	}
	for stopped, names := range c.successors {
		if len(m.holders[stopped]) > 0 {
			continue
		}
		for _, name := range names {
			if slices.Contains(m.alive, name) {
				m.holders[stopped] = append(m.holders[stopped], name)
			}
		}
	}
	c.versions = append(c.versions, m)
}

// seen returns the membership as it was some time ago.
func (c *cluster) seen(lag time.Duration) members {
	limit := time.Now().Add(-lag)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range slices.Backward(c.versions) {
		if !m.at.After(limit) {
			return m
		}
	}
	return c.versions[0]
}

// process returns the running process of that name, or nil.
func (c *cluster) process(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n != nil && n.name == name && !n.dead.Load() {
			return n
		}
	}
	return nil
}

// any returns the position and the process of a random entry; the process is nil when it does not run.
func (c *cluster) any() (int, *node) {
	i := c.network.below(len(c.nodes))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[i].dead.Load() {
		return i, nil
	}
	return i, c.nodes[i]
}

// stop is a planned stop of a process marked as leaving: it closes its table,
// hands it over to up to three others and ends after a while.
func (c *cluster) stop(n *node, stays time.Duration) error {
	n.table.Close()
	n.step()
	floor := n.issuer.LowestValidSerial(c.now())
	n.step()
	data, err := n.table.Export(n.self, floor)
	if err != nil {
		return err
	}
	for range 3 {
		_, successor := c.any()
		if successor == nil || successor == n || successor.leaving.Load() || c.network.chance(c.network.conditions().lose) {
			continue
		}
		if _, err := successor.handovers.Add(data, c.now()); err != nil {
			return err
		}
		c.mu.Lock()
		c.successors[n.self] = append(c.successors[n.self], successor.name)
		c.mu.Unlock()
	}
	c.mu.Lock()
	c.publish()
	c.mu.Unlock()
	time.Sleep(stays)
	c.kill(n)
	return nil
}
