package history_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"tamarackspool/internal/config/history"
	"tamarackspool/internal/platform/store"
	standin "tamarackspool/internal/standin/store"
)

// submission is the input of a recorded operation; base 0 means a read of the version.
type submission struct {
	base uint64
	id   string
}

type result struct {
	kind    history.OutcomeKind
	version uint64
}

// model is the sequential model of the head. The state lists the ids of the applied patches, each after a comma
// and followed by a dot.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		ids, in, out := state.(string), input.(submission), output.(result)
		version := uint64(strings.Count(ids, ",")) + 1
		if in.base == 0 {
			return keepIf(out.version == version, ids)
		}
		if before, _, ok := strings.Cut(ids, ","+in.id+"."); ok {
			applied := uint64(strings.Count(before, ",")) + 2
			return keepIf(out.kind == history.Unknown || (out.kind == history.Applied && out.version == applied), ids)
		}
		next := ids + "," + in.id + "."
		switch out.kind {
		case history.Applied:
			return keepIf(in.base == version && out.version == version+1, next)
		case history.Refused:
			return keepIf(in.base != version, ids)
		default:
			if in.base == version {
				return []any{ids, next}
			}
			return []any{ids}
		}
	},
}

func keepIf(ok bool, state string) []any {
	if ok {
		return []any{state}
	}
	return nil
}

// recorder collects operations with logical times.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	list  []porcupine.Operation
}

// recordOperation records an operation that began at the logical time call. One with an unknown outcome never
// ends, because its write may still take effect.
func (r *recorder) recordOperation(client int, in submission, call int64, out result) {
	end := r.clock.Add(1)
	if out.kind == history.Unknown && in.base != 0 {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// runClient submits patches and reads the version through one history. Failed calls change nothing and are not recorded.
func (r *recorder) runClient(t *testing.T, s *standin.Server, client int, rng *rand.Rand) {
	h := history.New(history.Settings{
		Store: store.New("http://store", "k", &http.Client{Transport: s.Transport()}),
		Wait: func(ctx context.Context, d time.Duration) error {
			if rng.IntN(4) == 0 { // the store becomes unavailable between a lost response and the next read of the head
				s.SetDown(true)
			}
			time.Sleep(d)
			return ctx.Err()
		},
	})
	base, id := uint64(1), ""
	for i := range 8 {
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		call := r.clock.Add(1)
		if record, err := h.Load(t.Context()); err == nil {
			base = record.Version()
			r.recordOperation(client, submission{}, call, result{version: base})
		}
		if id == "" || rng.IntN(3) > 0 { // else the last patch is submitted again
			id = fmt.Sprintf("%d-%d", client, i)
		}
		call = r.clock.Add(1)
		if o, err := h.Submit(t.Context(), keepPatch(base, id, rng.IntN(40))); err == nil {
			r.recordOperation(client, submission{base, id}, call, result{o.Kind(), o.Version()})
		}
	}
}

// injectFaults switches faults of the store on and off until stop is closed.
func injectFaults(s *standin.Server, rng *rand.Rand, stop <-chan struct{}) {
	for {
		s.LoseResponses(rng.IntN(3), []string{"", "config/head", "config/head"}[rng.IntN(3)])
		s.SetDelay([]time.Duration{0, 0, 50 * time.Millisecond, 2500 * time.Millisecond}[rng.IntN(4)])
		s.SetDown(rng.IntN(4) == 0)
		select {
		case <-stop:
			s.SetDown(false)
			s.SetDelay(0)
			s.LoseResponses(0, "")
			return
		case <-time.After(time.Duration(20+rng.IntN(2000)) * time.Millisecond):
		}
	}
}

// Guards against a patch that is applied twice, overwrites another one, or is reported with a wrong outcome, when
// responses are lost, calls are slow and the store is unavailable while four operators submit patches.
func TestHeadIsLinearizable(t *testing.T) {
	kinds := map[history.OutcomeKind]int{}
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newHistory(t)
			var r recorder
			var operators, faults sync.WaitGroup
			stop := make(chan struct{})
			faults.Go(func() { injectFaults(s, rand.New(rand.NewPCG(seed, 99)), stop) })
			for client := range 4 {
				operators.Go(func() { r.runClient(t, s, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
			}
			operators.Wait()
			close(stop)
			faults.Wait()
			time.Sleep(10 * time.Second) // lets late writes take effect
			call := r.clock.Add(1)
			record, err := open(s).Load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			r.recordOperation(9, submission{}, call, result{version: record.Version()})
			for _, o := range r.list {
				if o.Input.(submission).base != 0 {
					kinds[o.Output.(result).kind]++
				}
			}
			checkAuditComplete(t, open(s), record.Version())
			m := model.ToModel()
			if !porcupine.CheckOperations(m, r.list) {
				t.Errorf("seed %d: not linearizable: %+v", seed, r.list)
			}
		})
	}
	t.Logf("outcomes: %v", kinds)
	if kinds[history.Unknown] == 0 || kinds[history.Applied] == 0 || kinds[history.Refused] == 0 {
		t.Errorf("outcomes %v; the check needs some of each kind", kinds)
	}
}
