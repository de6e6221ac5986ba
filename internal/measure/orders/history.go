package orders

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"

	"tamarackspool/internal/request/verdict"
)

// operation is the input of a recorded operation: a run at the target, or a request of a caller.
type operation struct {
	key string
	run string // run identifies the run; it is empty for a request.
	by  string // by names the entry that answered, for the reader of a violation.
}

// reply is what a caller was told.
type reply struct {
	verdict verdict.Verdict
	run     string // run is the answer's run; it is empty for a verdict without an answer.
}

// model is one key as a sequential object; the state is the run that took place, or empty.
var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		ran, in, out := state.(string), input.(operation), output.(reply)
		switch {
		case in.run != "":
			return ran == "", in.run
		case out.verdict == verdict.NotRun:
			return ran == "", ran
		case out.verdict == verdict.Ran && out.run == "":
			return ran != "", ran
		case out.verdict == verdict.Ran:
			return ran == out.run, ran
		default:
			return true, ran
		}
	},
}

// history records operations with logical times; it is safe for concurrent use.
type history struct {
	mu    sync.Mutex
	clock int64
	byKey map[string][]porcupine.Operation
}

func newHistory() *history { return &history{byKey: map[string][]porcupine.Operation{}} }

// tick returns the next logical time.
func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// ran records a run, which takes no time.
func (h *history) ran(key, run string) { h.happened(key, run, h.tick()) }

// happened records a run at the given time.
func (h *history) happened(key, run string, at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byKey[key] = append(h.byKey[key], porcupine.Operation{
		Input: operation{key: key, run: run}, Call: at, Output: reply{}, Return: at,
	})
}

// told records an answer to a request that was sent at the logical time call.
func (h *history) told(caller int, key, by string, call int64, r reply) {
	h.observe(caller, key, by, call, h.tick(), r)
}

// observe records an answer that arrived at the given time to a request sent at call.
func (h *history) observe(caller int, key, by string, call, at int64, r reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byKey[key] = append(h.byKey[key], porcupine.Operation{
		ClientId: caller, Input: operation{key: key, by: by}, Call: call, Output: r, Return: at,
	})
}

// violations returns a description of each key whose operations the model does not allow.
func (h *history) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	for key, list := range h.byKey {
		if !porcupine.CheckOperations(model, list) {
			found = append(found, describe(key, list))
		}
	}
	slices.Sort(found)
	return found
}

func describe(key string, list []porcupine.Operation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "key %s:", key)
	for _, o := range list {
		in, out := o.Input.(operation), o.Output.(reply)
		if in.run != "" {
			fmt.Fprintf(&b, "\n  %d: run %s", o.Call, in.run)
			continue
		}
		fmt.Fprintf(&b, "\n  %d to %d: caller %d was told %s %s by %s", o.Call, o.Return, o.ClientId, out.verdict, out.run, in.by)
	}
	return b.String()
}

// count adds the recorded operations to an outcome.
func (h *history) count(o *Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.byKey {
		for _, op := range list {
			switch out := op.Output.(reply); {
			case op.Input.(operation).run != "":
				o.Runs++
			case out.verdict == verdict.Ran:
				o.Ran++
			case out.verdict == verdict.NotRun:
				o.NotRun++
			default:
				o.Unknown++
			}
		}
	}
}
