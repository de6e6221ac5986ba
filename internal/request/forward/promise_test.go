package forward_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/standin/target"
)

// Guards against an at-most-once request that runs although its caller received not-run,
// or that runs twice, under changing faults and callers that time out.
func TestVerdictsHoldUnderFaults(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(8) {
		runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
			verdicts := make(map[string]string)
			var mu sync.Mutex
			var callers sync.WaitGroup
			for c := range 8 {
				callers.Go(func() {
					own := rand.New(rand.NewPCG(seed, uint64(c)))
					for i := range 40 {
						key := fmt.Sprintf("k%d-%d", c, i)
						got := r.sendOnce("Idempotency-Key", key, "Timeout", []string{"4", "20", "100", "5000"}[own.IntN(4)])
						mu.Lock()
						verdicts[key] = got.verdict
						mu.Unlock()
					}
				})
			}
			faults := rand.New(rand.NewPCG(seed, 100))
			for range 400 {
				time.Sleep(time.Duration(faults.IntN(50)) * time.Millisecond)
				s := r.targetServers[[]string{"t1", "t2"}[faults.IntN(2)]]
				s.SetFaults([]target.Faults{{}, {}, {TruncateResponses: true}, {Shedding: true}, {ResponseDelay: 30 * time.Millisecond}, {ResponseDelay: 3 * time.Second}}[faults.IntN(6)])
				if faults.IntN(10) == 0 {
					s.Silence()
				}
			}
			callers.Wait()
			time.Sleep(time.Minute)
			ran := make(map[string]int)
			for _, x := range append(r.targetServers["t1"].Runs(), r.targetServers["t2"].Runs()...) {
				ran[x.Key]++
			}
			for key, v := range verdicts {
				counts[v]++
				if n := ran[key]; n > 1 || (v == "not-run" && n != 0) || (v == "ran" && n != 1) {
					t.Errorf("seed %d: request %s got verdict %q and ran %d times", seed, key, v, n)
				}
			}
		})
	}
	if counts["ran"] < 100 || counts["not-run"] < 10 || counts["may-have-run"] < 10 {
		t.Errorf("verdicts %v, want some of each", counts)
	}
	t.Logf("verdicts %v", counts)
}
