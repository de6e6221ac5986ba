package policy

import "time"

// Terms of a loan of slots.
const (
	term      = time.Second
	peerNeeds = 200 * time.Millisecond
)

// lent gives each entry its fixed part of the slots and lets an entry without
// free slots borrow from another entry of its region.
type lent struct {
	baseline
	own  [][]int
	want map[[2]int]time.Duration
}

func newLent() *lent {
	l := &lent{want: make(map[[2]int]time.Duration)}
	l.pick = func(b *baseline, w *world, e int, usable []int) int {
		start := w.rng.IntN(len(usable))
		for k := range usable {
			i := usable[(start+k)%len(usable)]
			if b.counts[e][i] < l.own[e][i] {
				return i
			}
		}
		return -1
	}
	return l
}

func (l *lent) restart(w *world, e int) {
	l.baseline.restart(w, e)
	for len(l.own) <= e {
		l.own = append(l.own, nil)
	}
	l.own[e] = make([]int, len(w.targets))
	for i := range w.targets {
		l.own[e][i] = part(w, e, i)
	}
}

func (l *lent) choose(w *world, r *request, e int, relayed bool) route {
	c := l.baseline.choose(w, r, e, relayed)
	if c.target < 0 {
		l.borrow(w, e, r.arrival.work)
	}
	return c
}

// borrow asks the entry of the region with the most free slots for one, at most once per peerNeeds.
func (l *lent) borrow(w *world, e, work int) {
	key := [2]int{e, work}
	if at, ok := l.want[key]; ok && w.now-at < peerNeeds/20 {
		return
	}
	l.want[key] = w.now
	lender, target, most := -1, -1, 0
	for o := range w.entries {
		if o == e || w.entries[o].region != w.entries[e].region || !w.entries[o].up {
			continue
		}
		free, best := 0, -1
		for _, i := range w.here[w.entries[o].region][work] {
			if n := l.own[o][i] - l.counts[o][i]; n > 0 && w.live(i) && !w.away(i) {
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
	d := w.between(e, lender)
	w.plan(w.now+d, func() { l.lend(w, lender, e, target, d) })
}

func (l *lent) lend(w *world, lender, e, i int, d time.Duration) {
	if l.own[lender][i] <= l.counts[lender][i] {
		return
	}
	l.own[lender][i]--
	w.plan(w.now+d, func() {
		l.own[e][i]++
		w.wake(e, w.targets[i].work)
		w.plan(w.now+term, func() { l.back(w, lender, e, i, d) })
	})
}

// back returns a lent slot once it is free.
func (l *lent) back(w *world, lender, e, i int, d time.Duration) {
	if l.counts[e][i] >= l.own[e][i] {
		w.plan(w.now+tick, func() { l.back(w, lender, e, i, d) })
		return
	}
	l.own[e][i]--
	w.plan(w.now+d, func() { l.own[lender][i]++ })
}
