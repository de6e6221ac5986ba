package orders_test

import (
	"testing"
	"testing/synctest"

	"tamarackspool/internal/measure/orders"
)

// check runs one cluster in virtual time.
func check(t *testing.T, seed uint64, h orders.Hooks) (o orders.Outcome) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		o = orders.Check(orders.CheckSettings{Seed: seed, Orders: 100, Entries: 6, Hooks: h})
	})
	return o
}

// Guards against an order that runs twice, a not-run answer for an order that ran, and
// a retry that gets the answer of another run, with two faults at a time.
func TestOrdersRunAtMostOnce(t *testing.T) {
	var total orders.Outcome
	// With seeds 258 and 261 an order ran twice, because a request used a clock reading that was too old.
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 258, 261} {
		o := check(t, seed, orders.Hooks{})
		for _, v := range o.Violations {
			t.Error(v)
		}
		total.Runs, total.RanAnswers = total.Runs+o.Runs, total.RanAnswers+o.RanAnswers
		total.NotRunAnswers, total.UnknownAnswers = total.NotRunAnswers+o.NotRunAnswers, total.UnknownAnswers+o.UnknownAnswers
	}
	if total.Runs < 1000 || total.RanAnswers < 2000 || total.NotRunAnswers < 20 || total.UnknownAnswers < 500 {
		t.Errorf("%d runs, %d ran, %d not-run, %d may-have-run, want many of each", total.Runs, total.RanAnswers, total.NotRunAnswers, total.UnknownAnswers)
	}
}
