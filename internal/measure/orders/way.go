package orders

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"tamarackspool/internal/platform/store"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/ticket"
	standin "tamarackspool/internal/standin/store"
)

// The measured ways to run an order at most once.
const (
	wayPerOrder = "claim per order"
	wayBatched  = "batched claims"
	wayTicket   = "ticket at its issuer"
	wayRepeat   = "ticket at any entry"
)

func ways() []string { return []string{wayPerOrder, wayBatched, wayTicket, wayRepeat} }

// party is one entry of a measurement.
type party struct {
	name     string
	index    int
	dead     atomic.Bool
	lost     atomic.Bool // lost is set when the others have stopped counting the entry as alive.
	issuer   *order.Issuer
	registry *order.Registry
}

// group is the set of entries that run orders in one way, with a store of their own.
type group struct {
	way     string
	server  *standin.Server
	parties []*party
	byName  map[string]*party
	held    time.Duration // held is how long callers keep a ticket before they send the order.
}

func newGroup(way string, s Settings) *group {
	g := &group{
		way: way, byName: map[string]*party{},
		server: standin.New(standin.Settings{ReadsPerSecond: storeReads, WritesPerSecond: storeWrites}),
	}
	keys := ticket.NewKey([]byte("peer"))
	for i := range s.Entries {
		p := &party{name: fmt.Sprintf("entry-%d", i), index: i}
		far := &http.Client{Transport: remote{g.server.Transport(), delay(0, i)}}
		client := store.New("http://store", "", far)
		p.issuer = order.NewIssuer(keys, ticket.Incarnation{byte(i + 1)})
		table := order.NewTable(order.Settings{MaxKeys: 1_000_000, MaxAnswerBytes: 64 << 20})
		p.registry = order.NewRegistry(p.name, keys, p.issuer, table, order.NewHandovers(), view{g, p}, claimer(way, p.name, client))
		g.parties, g.byName[p.name] = append(g.parties, p), p
	}
	return g
}

func claimer(way, owner string, client *store.Client) order.Claims {
	if way == wayPerOrder {
		return single{client, owner}
	}
	s := claim.Settings{Owner: owner, Retention: 24 * time.Hour, MaxKeys: 1_000_000, CallTimeout: 2 * time.Second}
	return claim.New(s, client)
}

// remote delays each call by the way to the store and back.
type remote struct {
	next http.RoundTripper
	each time.Duration
}

// RoundTrip carries out one call.
func (r remote) RoundTrip(q *http.Request) (*http.Response, error) {
	time.Sleep(r.each)
	defer time.Sleep(r.each)
	return r.next.RoundTrip(q)
}

// single claims each order by a write of its own.
type single struct {
	client *store.Client
	owner  string
}

// Claim writes the key, which must not exist.
func (s single) Claim(ctx context.Context, _, _, text string) (bool, error) {
	_, err := s.client.Put(ctx, "claim/"+text, []byte(s.owner), 0, 0)
	return err == nil, err
}

// Release is not used: a run of the measurement never ends as not-run.
func (s single) Release(_, _, _ string) {}

// view is what an entry knows of the others.
type view struct {
	group *group
	self  *party
}

// EntryForIssuer returns the entry that issued a ticket, unless it is known as dead.
func (v view) EntryForIssuer(n ticket.Incarnation) (string, bool) {
	i := int(n[0]) - 1
	if i < 0 || i >= len(v.group.parties) || v.group.parties[i].lost.Load() {
		return "", false
	}
	return v.group.parties[i].name, true
}

// EntryForKey returns the entry itself for a claim per order, else the one that the key's range falls to.
func (v view) EntryForKey(tenant, service, text string) (string, bool) {
	if v.group.way == wayPerOrder {
		return v.self.name, true
	}
	var alive []string
	for _, p := range v.group.parties {
		if !p.lost.Load() {
			alive = append(alive, p.name)
		}
	}
	return rendezvous(strconv.Itoa(claim.RangeOf(tenant, service, text)), alive)
}
