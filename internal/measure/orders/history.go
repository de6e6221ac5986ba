package orders

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"

	"tamarackspool/internal/request/verdict"
)

// operation is the input of a recorded operation: a run at the target or a caller's request.
type operation struct {
	key   string
	run   string // run identifies the run; it is empty for a request.
	entry string // entry is the entry that answered, for the description of a violation.
}

// reply is an answer to a caller.
type reply struct {
	verdict verdict.Verdict
	run     string // run identifies the run that produced the answer; it is empty for a verdict without a body.
}

// orderModel describes one key as a sequential object; the state is the run that took place, or empty.
var orderModel = porcupine.Model{
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

// nextTime returns the next logical time.
func (h *history) nextTime() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// recordRun records a run at the next logical time; a run has no duration.
func (h *history) recordRun(key, run string) { h.recordRunAt(key, run, h.nextTime()) }

// recordRunAt records a run at the given time.
func (h *history) recordRunAt(key, run string, at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byKey[key] = append(h.byKey[key], porcupine.Operation{
		Input: operation{key: key, run: run}, Call: at, Output: reply{}, Return: at,
	})
}

// recordAnswer records an answer to a request that was sent at the logical time call.
func (h *history) recordAnswer(caller int, key, by string, call int64, r reply) {
	h.recordAnswerAt(caller, key, by, call, h.nextTime(), r)
}

// recordAnswerAt records an answer that arrived at the time at to a request that was sent at the time call.
func (h *history) recordAnswerAt(caller int, key, by string, call, at int64, r reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byKey[key] = append(h.byKey[key], porcupine.Operation{
		ClientId: caller, Input: operation{key: key, entry: by}, Call: call, Output: r, Return: at,
	})
}

// findViolations returns a description of each key whose operations the model does not allow.
func (h *history) findViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	for key, list := range h.byKey {
		if !porcupine.CheckOperations(orderModel, list) {
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
		fmt.Fprintf(&b, "\n  %d to %d: caller %d got %s %s from %s", o.Call, o.Return, o.ClientId, out.verdict, out.run, in.entry)
	}
	return b.String()
}

// countInto adds the recorded operations to an outcome.
func (h *history) countInto(o *Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.byKey {
		for _, op := range list {
			switch out := op.Output.(reply); {
			case op.Input.(operation).run != "":
				o.Runs++
			case out.verdict == verdict.Ran:
				o.RanAnswers++
			case out.verdict == verdict.NotRun:
				o.NotRunAnswers++
			default:
				o.UnknownAnswers++
			}
		}
	}
}
