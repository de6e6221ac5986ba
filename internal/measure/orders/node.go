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
	// retention is short, so that keepers open new segments during a check; it
	// exceeds the time in which an order is repeated.
	retention = time.Minute
	// tries is how often an entry sends an order that is proven not to have run.
	tries = 2
)

// node is one process of an entry: a replacement under the same name is another node.
type node struct {
	cluster   *cluster
	name      string
	self      ticket.Incarnation
	lag       time.Duration // lag is the age of the membership that this process sees.
	issuer    *order.Issuer
	table     *order.Table
	handovers *order.Handovers
	placer    Placer
	dead      atomic.Bool
	leaving   atomic.Bool
	until     atomic.Int64 // until is the end of a pause in nanoseconds of Unix time.
}

func newNode(c *cluster, name string, self ticket.Incarnation, lag time.Duration, h Hooks) *node {
	n := &node{
		cluster: c, name: name, self: self, lag: lag,
		issuer: order.NewIssuer(c.keys, self), handovers: order.NewHandovers(),
		table: order.NewTable(order.Settings{MaxKeys: 10_000, MaxAnswerBytes: 1 << 20}),
	}
	var service claim.Store = store.New("http://store", "", &http.Client{Transport: link{n, c.server.Transport()}})
	if h.Store != nil {
		service = h.Store(service)
	}
	claims := claim.New(claim.Settings{
		Owner: name + "/" + self.String(), Retention: retention, MaxKeys: 120_000, CallTimeout: 300 * time.Millisecond,
	}, service)
	asked := n.issuer
	if h.Issuer != nil {
		asked = h.Issuer(c.keys, asked)
	}
	n.placer = registry{order.NewRegistry(name, c.keys, asked, n.table, n.handovers, sight{n}, claims)}
	if h.Placer != nil {
		n.placer = h.Placer(n.placer, Parts{c.keys, n.issuer, claims})
	}
	return n
}

// step is called between any two actions of the process: it waits while the
// process is paused or not scheduled, and returns false once it was killed.
func (n *node) step() bool {
	if n.cluster.network.chance(0.05) {
		time.Sleep(n.cluster.network.upTo(300 * time.Millisecond))
	}
	for {
		wait := time.Until(time.Unix(0, n.until.Load()))
		if wait <= 0 {
			return !n.dead.Load()
		}
		time.Sleep(wait)
	}
}

// pause stops the process for a time.
func (n *node) pause(d time.Duration) { n.until.Store(time.Now().Add(d).UnixNano()) }

// handle is what an entry does with a request; false means that it sends no answer.
func (n *node) handle(ctx context.Context, k order.Key, hops int) (reply, bool) {
	if !n.step() {
		return reply{}, false
	}
	now := n.cluster.now()
	if !n.step() {
		return reply{}, false
	}
	d, err := n.placer.Place(ctx, k, 1, now)
	if !n.step() {
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
	return r, n.step()
}

// relay sends a request to the home of its key; without an answer nothing is known.
func (n *node) relay(ctx context.Context, to string, k order.Key, hops int) (reply, bool) {
	if hops >= maxHops {
		return reply{verdict: verdict.MayHaveRun}, true
	}
	r, ok := n.cluster.network.call(ctx, n.cluster.process(to), k, hops+1)
	if !ok {
		r = reply{verdict: verdict.MayHaveRun}
	}
	return r, n.step()
}

// dispatch sends an order to the target, again when it is proven not to have run, and settles the permit.
func (n *node) dispatch(ctx context.Context, k order.Key, p Permit) reply {
	v := verdict.NotRun
	for range tries {
		if !n.step() {
			return reply{}
		}
		var run string
		run, v = n.cluster.target.send(ctx, k.Text())
		if !n.step() {
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

// sight is the membership as an entry sees it.
type sight struct{ node *node }

// EntryForIssuer returns the entry that runs as the incarnation, or one that holds its outcomes.
func (s sight) EntryForIssuer(n ticket.Incarnation) (string, bool) {
	names := s.node.cluster.seen(s.node.lag).holders[n]
	if len(names) == 0 {
		return "", false
	}
	return names[0], true
}

// EntryForKey returns the entry that the key's range falls to.
func (s sight) EntryForKey(tenant, service, text string) (string, bool) {
	return rendezvous(strconv.Itoa(claim.RangeOf(tenant, service, text)), s.node.cluster.seen(s.node.lag).alive)
}
