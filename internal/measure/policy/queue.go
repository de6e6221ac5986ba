package policy

import "time"

// action is something that happens at a given time of the run.
type action struct {
	at  time.Duration
	seq uint64
	do  func()
}

// agenda is a binary heap of actions by time, then by order of planning.
type agenda struct {
	heap []action
	seq  uint64
}

func (a *agenda) plan(at time.Duration, do func()) {
	a.seq++
	a.heap = append(a.heap, action{at, a.seq, do})
	for i := len(a.heap) - 1; i > 0; {
		p := (i - 1) / 2
		if !a.less(i, p) {
			return
		}
		a.heap[i], a.heap[p] = a.heap[p], a.heap[i]
		i = p
	}
}

func (a *agenda) next() action {
	first := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap[last] = action{}
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

func (a *agenda) less(i, j int) bool {
	if a.heap[i].at != a.heap[j].at {
		return a.heap[i].at < a.heap[j].at
	}
	return a.heap[i].seq < a.heap[j].seq
}
