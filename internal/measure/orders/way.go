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

// The measured methods of running an order at most once. A ticket goes to the entry that issued it,
// or to any entry, which relays it to the issuer.
const (
	methodPerOrder = "claim per order"
	methodBatched  = "batched claims"
	methodTicket   = "ticket at its issuer"
	methodAnyEntry = "ticket at any entry"
)

func methods() []string { return []string{methodPerOrder, methodBatched, methodTicket, methodAnyEntry} }

// groupEntry is one entry of a measurement.
type groupEntry struct {
	name         string
	index        int
	killed       atomic.Bool
	reportedDead atomic.Bool // reportedDead is set when the other entries consider this one dead.
	issuer       *order.Issuer
	registry     *order.Registry
}

// group is the set of entries that run orders by one method, with a store of their own.
type group struct {
	method     string
	server     *standin.Server
	entries    []*groupEntry
	byName     map[string]*groupEntry
	ticketHold time.Duration // ticketHold is how long callers hold a ticket before they send the order.
}

func newGroup(method string, s Settings) *group {
	g := &group{
		method: method, byName: map[string]*groupEntry{},
		server: standin.New(standin.Settings{ReadsPerSecond: storeReadsPerSecond, WritesPerSecond: storeWritesPerSecond}),
	}
	keys := ticket.NewKey([]byte("peer"))
	for i := range s.Entries {
		p := &groupEntry{name: fmt.Sprintf("entry-%d", i), index: i}
		httpClient := &http.Client{Transport: delayedTransport{g.server.Transport(), entryDelay(0, i)}}
		client := store.New("http://store", "", httpClient)
		p.issuer = order.NewIssuer(keys, ticket.Incarnation{byte(i + 1)})
		table := order.NewTable(order.Settings{MaxKeys: 1_000_000, MaxAnswerBytes: 64 << 20})
		p.registry = order.NewRegistry(p.name, keys, p.issuer, table, order.NewHandovers(), groupView{g, p}, newClaims(method, p.name, client))
		g.entries, g.byName[p.name] = append(g.entries, p), p
	}
	return g
}

func newClaims(method, owner string, client *store.Client) order.Claims {
	if method == methodPerOrder {
		return singleClaims{client, owner}
	}
	s := claim.Settings{Owner: owner, Retention: 24 * time.Hour, MaxKeys: 1_000_000, CallTimeout: 2 * time.Second}
	return claim.New(s, client)
}

// delayedTransport delays each call by the round trip to the store.
type delayedTransport struct {
	next        http.RoundTripper
	oneWayDelay time.Duration
}

// RoundTrip performs one call with the delay in both directions.
func (r delayedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	time.Sleep(r.oneWayDelay)
	defer time.Sleep(r.oneWayDelay)
	return r.next.RoundTrip(q)
}

// singleClaims claims each order by a separate write.
type singleClaims struct {
	client *store.Client
	owner  string
}

// Claim creates the key and reports false when it exists.
func (s singleClaims) Claim(ctx context.Context, _, _, text string) (bool, error) {
	_, err := s.client.Put(ctx, "claim/"+text, []byte(s.owner), 0, 0)
	return err == nil, err
}

// Release is a no-op: a dispatched order of the measurement always runs.
func (s singleClaims) Release(_, _, _ string) {}

// groupView is an entry's view of the other entries.
type groupView struct {
	group *group
	entry *groupEntry
}

// EntryForIssuer returns the entry that issued a ticket, unless it is reported dead.
func (v groupView) EntryForIssuer(n ticket.Incarnation) (string, bool) {
	i := int(n[0]) - 1
	if i < 0 || i >= len(v.group.entries) || v.group.entries[i].reportedDead.Load() {
		return "", false
	}
	return v.group.entries[i].name, true
}

// EntryForKey returns the entry itself for a claim per order, else the entry to which the key's range is assigned.
func (v groupView) EntryForKey(tenant, service, text string) (string, bool) {
	if v.group.method == methodPerOrder {
		return v.entry.name, true
	}
	var alive []string
	for _, p := range v.group.entries {
		if !p.reportedDead.Load() {
			alive = append(alive, p.name)
		}
	}
	return rendezvous(strconv.Itoa(claim.RangeOf(tenant, service, text)), alive)
}
