package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/fleet/gossip"
)

// Guards against loans and needs that get lost or reach the wrong entry, and against a slow answer that prolongs a loan.
func TestLoansReachTheirBorrowerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.stop()
		f.network.mu.Lock()
		f.network.delay = func() time.Duration { return 300 * time.Millisecond }
		f.network.mu.Unlock()
		time.Sleep(10 * time.Second)
		until := time.Now().Add(15 * time.Second)
		f.nodes[0].SetNeeds([]string{"a|b"})
		f.nodes[1].SetLoans([]gossip.Loan{{Lender: "entry-001", Borrower: "entry-000", Link: "a|b", Rate: 7, ExpiresAt: until}})
		time.Sleep(10 * time.Second)
		got := f.nodes[0].Loans()
		if len(got) != 1 || got[0].Lender != "entry-001" || got[0].Link != "a|b" || got[0].Rate != 7 {
			t.Fatalf("the borrower has %+v", got)
		}
		if got[0].ExpiresAt.After(until) || got[0].ExpiresAt.Before(until.Add(-3*time.Second)) {
			t.Errorf("the borrower's loan ends %v after the lender's", got[0].ExpiresAt.Sub(until))
		}
		if count := len(f.nodes[2].Loans()); count != 0 {
			t.Errorf("an entry that borrows nothing has %d loans", count)
		}
		if needs := f.nodes[1].Needs(); len(needs) != 1 || needs[0] != (gossip.Need{Entry: "entry-000", Link: "a|b"}) {
			t.Errorf("the lender knows the needs %+v", needs)
		}
		f.nodes[0].SetNeeds(nil)
		time.Sleep(10 * time.Second)
		if count, needs := len(f.nodes[0].Loans()), f.nodes[1].Needs(); count != 0 || len(needs) != 0 {
			t.Errorf("%d loans and the needs %+v remain after their end", count, needs)
		}
	})
}
