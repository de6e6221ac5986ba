package order_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

type fleet struct {
	issuerEntries map[ticket.Incarnation]string
	rangeOwner    string
}

func (f *fleet) EntryForIssuer(n ticket.Incarnation) (string, bool) {
	name, ok := f.issuerEntries[n]
	return name, ok
}

func (f *fleet) EntryForKey(string, string, string) (string, bool) {
	return f.rangeOwner, f.rangeOwner != ""
}

// claims is a log of claims that all entries of a test share.
type claims struct {
	claimed     map[string]bool
	unavailable bool
}

func (c *claims) Claim(_ context.Context, tenant, service, text string) (bool, error) {
	if c.unavailable {
		return false, errors.New("store: unavailable")
	}
	k := tenant + " " + service + " " + text
	fresh := !c.claimed[k]
	c.claimed[k] = true
	return fresh, nil
}

func (c *claims) Release(tenant, service, text string) {
	delete(c.claimed, tenant+" "+service+" "+text)
}

type entry struct {
	registry  *order.Registry
	issuer    *order.Issuer
	table     *order.Table
	handovers *order.Handovers
}

func newEntry(name string, n byte, f *fleet, c *claims) entry {
	keys := ticket.NewKey([]byte("peer"))
	e := entry{issuer: order.NewIssuer(keys, ticket.Incarnation{n}), table: newTable(100, 1000), handovers: order.NewHandovers()}
	e.registry = order.NewRegistry(name, keys, e.issuer, e.table, e.handovers, f, c)
	return e
}

func (e entry) decide(t *testing.T, key string, now time.Time) (order.Decision, error) {
	t.Helper()
	return e.registry.Decide(t.Context(), order.NewKey("t", "gifts", key), 1, now)
}

// Guards against a request that is executed twice because the caller repeats it at
// another entry VM while the issuer is alive, gone, or replaced under the same name.
func TestTicketRunsOnlyAtItsIssuer(t *testing.T) {
	now := time.Now()
	f := &fleet{issuerEntries: map[ticket.Incarnation]string{{1}: "ege-a-1", {2}: "ege-b-1"}}
	first, second := newEntry("ege-a-1", 1, f, nil), newEntry("ege-b-1", 2, f, nil)
	key := first.issuer.Issue("t", "gifts", 1, now)[0]
	if d, err := second.decide(t, key, now); err != nil || d.RelayEntry() != "ege-a-1" {
		t.Fatalf("Decide at another entry = %+v, %v, want a relay to the issuer", d, err)
	}
	d, err := first.decide(t, key, now)
	if err != nil || d.Permit() == nil {
		t.Fatalf("Decide at the issuer = %+v, %v, want a permit", d, err)
	}
	d.Permit().Finish(order.NewAnswer(200, nil, nil), now)
	if d, err := first.decide(t, key, now); err != nil || d.Answer() == nil {
		t.Errorf("repeat at the issuer = %+v, %v, want the first answer", d, err)
	}
	f.issuerEntries = map[ticket.Incarnation]string{{3}: "ege-a-1", {2}: "ege-b-1"}
	replaced := newEntry("ege-a-1", 3, f, nil)
	for _, e := range []entry{second, replaced} {
		_, err := e.decide(t, key, now)
		wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonIssuerGone)
	}
}

// Guards against a ticket that is accepted after its validity, when the record of its first run may have been dropped.
func TestOldTicketsDoNotRun(t *testing.T) {
	now := time.Now()
	e := newEntry("a", 1, &fleet{}, nil)
	key := e.issuer.Issue("t", "gifts", 1, now)[0]
	d, err := e.decide(t, key, now.Add(order.TicketValidity-time.Second))
	if err != nil || d.Permit() == nil {
		t.Fatalf("Decide within the validity = %+v, %v, want a permit", d, err)
	}
	finished := now.Add(order.TicketValidity + time.Second)
	d.Permit().Finish(order.NewAnswer(200, nil, nil), finished)
	if d, err := e.decide(t, key, finished.Add(order.Retention-time.Second)); err != nil || d.Answer() == nil {
		t.Errorf("repeat within the retention = %+v, %v, want the first answer", d, err)
	}
	if _, _, err := e.table.Begin(t.Context(), order.NewKey("t", "gifts", "other"), 1, finished.Add(order.Retention)); err != nil || e.table.Len() != 1 {
		t.Fatalf("Begin after the retention: %v, %d keys, want only the new key", err, e.table.Len())
	}
	_, err = e.decide(t, key, finished.Add(order.Retention))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonIssuerGone)
	unused := e.issuer.Issue("t", "gifts", 1, now.Add(5*order.TicketValidity))[0]
	_, err = e.decide(t, unused, now.Add(7*order.TicketValidity))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonIssuerGone)
}

// Guards against outcomes that are lost in a graceful shutdown: the successor must return the
// outcomes of used tickets and the verdict not-run for unused ones.
func TestSuccessorAnswersForStoppedIssuer(t *testing.T) {
	now := time.Now()
	f := &fleet{issuerEntries: map[ticket.Incarnation]string{{1}: "a"}}
	stopping, successor := newEntry("a", 1, f, nil), newEntry("b", 2, f, nil)
	keys := stopping.issuer.Issue("t", "gifts", 3, now)
	if _, err := stopping.table.Export(ticket.Incarnation{1}, 1); err == nil {
		t.Error("an open table was exported")
	}
	d, _ := stopping.decide(t, keys[0], now)
	d.Permit().Finish(order.NewAnswer(201, map[string][]string{"Content-Type": {"text/plain"}}, []byte("coin")), now)
	if d, err := stopping.decide(t, keys[1], now); err != nil || d.Permit() == nil {
		t.Fatal("the second ticket got no permit")
	}
	stopping.table.Close()
	_, err := stopping.decide(t, keys[2], now)
	wantVerdict(t, err, verdict.NotRun, verdict.ReasonShuttingDown)
	data, err := stopping.table.Export(ticket.Incarnation{1}, stopping.issuer.LowestValidSerial(now))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := successor.handovers.Add(data, now); err != nil || n != (ticket.Incarnation{1}) {
		t.Fatalf("Add = %v, %v", n, err)
	}
	if d, err := successor.decide(t, keys[0], now); err != nil || d.Answer() == nil || string(d.Answer().Body()) != "coin" {
		t.Errorf("used ticket at the successor = %+v, %v, want the first answer", d, err)
	}
	_, err = successor.decide(t, keys[1], now)
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonRepeat)
	_, err = successor.decide(t, keys[2], now)
	wantVerdict(t, err, verdict.NotRun, verdict.ReasonIssuerGone)
}

// Guards against a caller-chosen key whose request is dispatched by two range owners, and
// against a verdict of not-run while the store is unavailable.
func TestChosenKeys(t *testing.T) {
	now := time.Now()
	log := &claims{claimed: map[string]bool{}}
	f := &fleet{rangeOwner: "a"}
	first, second := newEntry("a", 1, f, log), newEntry("b", 2, f, log)
	if d, err := second.decide(t, "order-7", now); err != nil || d.RelayEntry() != "a" {
		t.Fatalf("Decide at an entry that does not own the range = %+v, %v, want a relay", d, err)
	}
	d, err := first.decide(t, "order-7", now)
	if err != nil || d.Permit() == nil {
		t.Fatalf("Decide = %+v, %v, want a permit", d, err)
	}
	f.rangeOwner = "b"
	_, err = second.decide(t, "order-7", now)
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonRepeat)

	log.unavailable = true
	_, err = second.decide(t, "order-8", now)
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonStoreUnavailable)
	log.unavailable = false
	d, err = second.decide(t, "order-8", now)
	if err != nil || d.Permit() == nil {
		t.Fatalf("Decide after the outage = %+v, %v, want a permit", d, err)
	}
	d.Permit().Fail(verdict.NotRun, now)
	if d, err = second.decide(t, "order-8", now); err != nil || d.Permit() == nil {
		t.Errorf("Decide after a request that did not run = %+v, %v, want a permit", d, err)
	}
	second.table.Close()
	_, err = second.decide(t, "order-9", now)
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonShuttingDown)
	for _, key := range []string{"", "a b", "ż", string(make([]byte, 129))} {
		_, err := first.decide(t, key, now)
		wantVerdict(t, err, verdict.NotRun, verdict.ReasonBadInput)
	}
}
