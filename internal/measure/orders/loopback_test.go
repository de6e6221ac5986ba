package orders_test

import (
	"fmt"
	"testing"

	"tamarackspool/internal/measure/orders"
)

// Guards against an entry, wired as in production, that lets an order run twice, answers
// not-run for an order that ran, or answers a retry with another run, when entries are
// killed, stopped or replaced and connections go silent.
func TestRealEntriesRunOrdersAtMostOnce(t *testing.T) {
	// The seeds cover each kind of fault. With seed 3 an entry without a configuration
	// answered not-run for orders that had run before its process was replaced.
	for _, seed := range []uint64{2, 3, 5} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o, err := orders.CheckLoopback(t.Context(), seed)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range o.Violations {
				t.Error(v)
			}
			if o.Runs == 0 || o.RanAnswers == 0 || o.UnknownAnswers == 0 {
				t.Errorf("%+v, want runs and both answers", o)
			}
			t.Logf("%d orders, %d runs, %d ran, %d not-run, %d may-have-run, %v", o.Orders, o.Runs, o.RanAnswers, o.NotRunAnswers, o.UnknownAnswers, o.Faults)
		})
	}
}
