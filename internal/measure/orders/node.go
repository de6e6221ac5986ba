package orders

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

const (
	maxHops = 3
	// retention is short, so that the owners of claim ranges open new segments during a
	// check; it exceeds the time in which callers retry an order.
	retention = time.Minute
	// maxAttempts limits how often an entry sends an order that is known not to have run.
	maxAttempts = 2
)

// node is one process of an entry; a restarted entry of the same name is another node.
type node struct {
	cluster       *cluster
	name          string
	incarnation   ticket.Incarnation
	membershipLag time.Duration // membershipLag is the age of the membership that this process sees.
	issuer        *order.Issuer
	table         *order.Table
	handovers     *order.Handovers
	placer        Placer
	killed        atomic.Bool
	leaving       atomic.Bool
	pausedUntil   atomic.Int64 // pausedUntil is the end of a pause in nanoseconds of Unix time.
}

func newNode(c *cluster, name string, self ticket.Incarnation, lag time.Duration, h Hooks) *node {
	n := &node{
		cluster: c, name: name, incarnation: self, membershipLag: lag,
		issuer: order.NewIssuer(c.keys, self), handovers: order.NewHandovers(),
		table: order.NewTable(order.Settings{MaxKeys: 10_000, MaxAnswerBytes: 1 << 20}),
	}
	var claimStore claim.Store = store.New("http://store", "", &http.Client{Transport: storeTransport{n, c.server.Transport()}})
	if h.Store != nil {
		claimStore = h.Store(claimStore)
	}
	claims := claim.New(claim.Settings{
		Owner: name + "/" + self.String(), Retention: retention, MaxKeys: 120_000, CallTimeout: 300 * time.Millisecond,
	}, claimStore)
	registryIssuer := n.issuer
	if h.Issuer != nil {
		registryIssuer = h.Issuer(c.keys, registryIssuer)
	}
	n.placer = registryPlacer{order.NewRegistry(name, c.keys, registryIssuer, n.table, n.handovers, membershipView{n}, claims)}
	if h.Placer != nil {
		n.placer = h.Placer(n.placer, Components{c.keys, n.issuer, claims})
	}
	return n
}

// yieldStep is called between any two actions of the process: it waits while the
// process is paused or not scheduled, and returns false after it was killed.
func (n *node) yieldStep() bool {
	if n.cluster.network.happens(0.05) {
		time.Sleep(n.cluster.network.randomDuration(300 * time.Millisecond))
	}
	for {
		wait := time.Until(time.Unix(0, n.pausedUntil.Load()))
		if wait <= 0 {
			return !n.killed.Load()
		}
		time.Sleep(wait)
	}
}

// pause suspends the process for the given time.
func (n *node) pause(d time.Duration) { n.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// handle handles a request at the entry; false means that it sends no answer.
func (n *node) handle(ctx context.Context, k order.Key, hops int) (reply, bool) {
	if !n.yieldStep() {
		return reply{}, false
	}
	now := n.cluster.now()
	if !n.yieldStep() {
		return reply{}, false
	}
	d, err := n.placer.Place(ctx, k, 1, now)
	if !n.yieldStep() {
		return reply{}, false
	}
	switch {
	case err != nil:
		return reply{verdict: verdict.Of(err)}, true
	case d.Relay != "":
		return n.relay(ctx, d.Relay, k, hops)
	case d.Answer != nil:
		return reply{verdict.Ran, string(d.Answer.Body())}, true
	}
	r := n.dispatch(ctx, k, d.Permit)
	return r, n.yieldStep()
}

// relay sends a request to the home entry of its key; without an answer the verdict is MayHaveRun.
func (n *node) relay(ctx context.Context, to string, k order.Key, hops int) (reply, bool) {
	if hops >= maxHops {
		return reply{verdict: verdict.MayHaveRun}, true
	}
	r, ok := n.cluster.network.call(ctx, n.cluster.runningNode(to), k, hops+1)
	if !ok {
		r = reply{verdict: verdict.MayHaveRun}
	}
	return r, n.yieldStep()
}

// dispatch sends an order to the target, retries it when it is known not to have run, and settles the permit.
func (n *node) dispatch(ctx context.Context, k order.Key, p Permit) reply {
	v := verdict.NotRun
	for range maxAttempts {
		if !n.yieldStep() {
			return reply{}
		}
		var run string
		run, v = n.cluster.target.send(ctx, k.Text())
		if !n.yieldStep() {
			return reply{}
		}
		if v == verdict.Ran {
			p.Finish(order.NewAnswer(200, nil, []byte(run)), n.cluster.now())
			return reply{v, run}
		}
		if v != verdict.NotRun {
			break
		}
	}
	p.Fail(v, n.cluster.now())
	return reply{verdict: v}
}

// membershipView is the delayed membership that a process sees.
type membershipView struct{ node *node }

// EntryForIssuer returns the entry that runs as the incarnation, or one that took over its recorded outcomes.
func (v membershipView) EntryForIssuer(n ticket.Incarnation) (string, bool) {
	names := v.node.cluster.membershipAt(v.node.membershipLag).outcomeHolders[n]
	if len(names) == 0 {
		return "", false
	}
	return names[0], true
}

// EntryForKey returns the entry to which the key's range is assigned.
func (v membershipView) EntryForKey(tenant, service, text string) (string, bool) {
	return rendezvous(strconv.Itoa(claim.RangeOf(tenant, service, text)), v.node.cluster.membershipAt(v.node.membershipLag).alive)
}
