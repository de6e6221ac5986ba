package order_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/verdict"
)

// Guards against a second run, or a false not-run, of a request that read the clock
// before its process was paused: by that clock reading the ticket is still valid, but
// another request has dropped the record of the first run in the meantime.
func TestPausedRequestDoesNotRunAgain(t *testing.T) {
	for _, state := range []string{"open", "closed", "full"} {
		now := time.Now()
		e := newEntry("a", 1, &fleet{rangeOwner: "a"}, &claims{claimed: map[string]bool{}})
		key := e.issuer.Issue("t", "gifts", 1, now)[0]
		d, err := e.decide(t, key, now)
		if err != nil || d.Permit() == nil {
			t.Fatalf("Decide = %+v, %v, want a permit", d, err)
		}
		d.Permit().Finish(order.NewAnswer(200, nil, nil), now)
		others := 1
		if state == "full" {
			others = 100
		}
		for i := range others {
			if d, err := e.decide(t, fmt.Sprintf("other-%d", i), now.Add(order.Retention)); err != nil || d.Permit() == nil {
				t.Fatalf("another key = %+v, %v, want a permit", d, err)
			}
		}
		if state == "closed" {
			e.table.Close()
		}
		_, err = e.decide(t, key, now.Add(time.Minute))
		wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonIssuerGone)
		if e.table.Len() != others {
			t.Errorf("%s table: %d keys are kept, want %d", state, e.table.Len(), others)
		}
	}
}

// Guards against a false not-run from a successor: a request that arrives between
// LowestValidSerial and Export must not drop the record of a ticket that is still valid.
func TestClosedTableKeepsItsRecords(t *testing.T) {
	now := time.Now()
	e, successor := newEntry("a", 1, &fleet{rangeOwner: "a"}, nil), newEntry("b", 2, &fleet{}, nil)
	key := e.issuer.Issue("t", "gifts", 1, now)[0]
	d, err := e.decide(t, key, now)
	if err != nil || d.Permit() == nil {
		t.Fatalf("Decide = %+v, %v, want a permit", d, err)
	}
	d.Permit().Finish(order.NewAnswer(200, nil, nil), now)
	e.table.Close()
	lowestSerial := e.issuer.LowestValidSerial(now)
	_, err = e.decide(t, "other", now.Add(order.Retention))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonShuttingDown)
	data, err := e.table.Export(e.issuer.Incarnation(), lowestSerial)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := successor.handovers.Add(data, now.Add(order.Retention)); err != nil {
		t.Fatal(err)
	}
	if d, err := successor.decide(t, key, now.Add(order.Retention)); err != nil || d.Answer() == nil {
		t.Errorf("Decide at the successor = %+v, %v, want the first answer", d, err)
	}
}
