package policy

import "time"

// Durations of slot loans and of requests for them.
const (
	loanTerm         = time.Second
	peerNeedInterval = 200 * time.Millisecond
)

// slotLending gives each entry its fixed share of the slots and lets an entry without
// free slots borrow one from another entry of its region.
type slotLending struct {
	baseline
	ownSlots      [][]int
	lastRequested map[[2]int]time.Duration
}

func newSlotLending() *slotLending {
	l := &slotLending{lastRequested: make(map[[2]int]time.Duration)}
	l.pick = func(b *baseline, w *world, e int, usable []int) int {
		start := w.rng.IntN(len(usable))
		for k := range usable {
			i := usable[(start+k)%len(usable)]
			if b.inFlight[e][i] < l.ownSlots[e][i] {
				return i
			}
		}
		return -1
	}
	return l
}

func (l *slotLending) resetEntry(w *world, e int) {
	l.baseline.resetEntry(w, e)
	for len(l.ownSlots) <= e {
		l.ownSlots = append(l.ownSlots, nil)
	}
	l.ownSlots[e] = make([]int, len(w.targets))
	for i := range w.targets {
		l.ownSlots[e][i] = slotShare(w, e, i)
	}
}

func (l *slotLending) choose(w *world, r *request, e int, relayed bool) route {
	c := l.baseline.choose(w, r, e, relayed)
	if c.target < 0 {
		l.borrowSlot(w, e, r.arrival.workload)
	}
	return c
}

// borrowSlot requests a slot from the entry of the region that has the most free ones, at most once per peerNeedInterval/20 (10 ms) and workload.
func (l *slotLending) borrowSlot(w *world, e, workload int) {
	key := [2]int{e, workload}
	if at, ok := l.lastRequested[key]; ok && w.now-at < peerNeedInterval/20 {
		return
	}
	l.lastRequested[key] = w.now
	lender, target, most := -1, -1, 0
	for o := range w.entries {
		if o == e || w.entries[o].region != w.entries[e].region || !w.entries[o].up {
			continue
		}
		free, best := 0, -1
		for _, i := range w.localTargets[w.entries[o].region][workload] {
			if n := l.ownSlots[o][i] - l.inFlight[o][i]; n > 0 && w.seenHealthy(i) && !w.draining(i) {
				free += n
				best = i
			}
		}
		if free > most {
			lender, target, most = o, best, free
		}
	}
	if lender < 0 {
		return
	}
	d := w.entryDelay(e, lender)
	w.schedule(w.now+d, func() { l.lendSlot(w, lender, e, target, d) })
}

func (l *slotLending) lendSlot(w *world, lender, e, i int, d time.Duration) {
	if l.ownSlots[lender][i] <= l.inFlight[lender][i] {
		return
	}
	l.ownSlots[lender][i]--
	w.schedule(w.now+d, func() {
		l.ownSlots[e][i]++
		w.serveQueue(e, w.targets[i].workload)
		w.schedule(w.now+loanTerm, func() { l.returnSlot(w, lender, e, i, d) })
	})
}

// returnSlot returns a lent slot to its lender; while it is in use, it tries again every tick.
func (l *slotLending) returnSlot(w *world, lender, e, i int, d time.Duration) {
	if l.inFlight[e][i] >= l.ownSlots[e][i] {
		w.schedule(w.now+tickInterval, func() { l.returnSlot(w, lender, e, i, d) })
		return
	}
	l.ownSlots[e][i]--
	w.schedule(w.now+d, func() { l.ownSlots[lender][i]++ })
}
