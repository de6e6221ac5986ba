package policy

import "time"

// scheduledAction is a function that runs at a given time of the simulation.
type scheduledAction struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a binary heap of actions, ordered by time and then by order of scheduling.
type eventQueue struct {
	heap []scheduledAction
	seq  uint64
}

func (a *eventQueue) schedule(at time.Duration, do func()) {
	a.seq++
	a.heap = append(a.heap, scheduledAction{at, a.seq, do})
	for i := len(a.heap) - 1; i > 0; {
		p := (i - 1) / 2
		if !a.less(i, p) {
			return
		}
		a.heap[i], a.heap[p] = a.heap[p], a.heap[i]
		i = p
	}
}

func (a *eventQueue) pop() scheduledAction {
	first := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap[last] = scheduledAction{}
	a.heap = a.heap[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			return first
		}
		if c+1 < last && a.less(c+1, c) {
			c++
		}
		if !a.less(c, i) {
			return first
		}
		a.heap[i], a.heap[c] = a.heap[c], a.heap[i]
		i = c
	}
}

func (a *eventQueue) less(i, j int) bool {
	if a.heap[i].at != a.heap[j].at {
		return a.heap[i].at < a.heap[j].at
	}
	return a.heap[i].seq < a.heap[j].seq
}
