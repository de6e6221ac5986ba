package policy

import (
	"time"

	"tamarackspool/internal/steer/decision"
)

// Bounds of a request's attempts.
const (
	attempts = 4
	chunk    = 64 << 10
	refused  = 10 * time.Millisecond // time until a connection to a lost VM fails
)

// end is how an attempt ended.
type end struct {
	kind    decision.Kind
	free    int // free is the relaying owner's count of free slots
	counted bool
	latency time.Duration
	// unopened means that no connection to the relaying peer could be opened.
	unopened bool
}

// hop is what one entry holds for a request.
type hop struct {
	entry  int
	target int
	peer   int
	began  time.Duration
	choice decision.Choice
}

// request is a request on its way.
type request struct {
	arrival   *arrival
	origin    int
	deadline  time.Duration
	tries     int
	attempted int // attempted counts the attempts that were sent to a target
	charged   int // charged is the number of attempts that the retry budget has paid for
	avoid     []string
	hops      []*hop
	queued    bool
	waited    bool
	ended     bool
	repeats   int // repeats counts the refusals that the caller has answered by a repeat
}

// begin lets a caller send its request to an entry of its home, or of another region when its home is lost.
func (w *world) begin(a *arrival) {
	travel := w.place.client
	draw := a.entry
	if w.script.crowded && w.script.active(w.now) && a.home == 0 && a.work == len(w.place.works)-1 {
		draw = 0
	}
	e := w.entryIn(a.home, draw)
	if e < 0 {
		travel += w.place.region
		e = w.entryIn((a.home+1+int(a.entry>>32)%2)%len(w.place.regions), a.entry)
	}
	r := &request{arrival: a, origin: e, deadline: a.at + w.place.works[a.work].timeout}
	w.figures.offer(w, r)
	w.plan(w.now+travel, func() { w.dispatch(r) })
}

func (w *world) entryIn(region int, draw uint64) int {
	var live []int
	for i := range w.entries {
		if w.entries[i].region == region && w.entries[i].up {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return -1
	}
	return live[draw%uint64(len(live))]
}

// dispatch lets the origin choose.
func (w *world) dispatch(r *request) {
	if r.ended || !w.entries[r.origin].up {
		w.figures.end(w, r, "lost")
		return
	}
	if w.now >= r.deadline || r.tries >= attempts {
		if w.repeat(r) {
			return
		}
		w.figures.end(w, r, "not-run")
		return
	}
	w.follow(r, r.origin, false)
}

func (w *world) follow(r *request, e int, relayed bool) {
	c := w.policy.choose(w, r, e, relayed)
	switch {
	case c.target >= 0:
		r.hops = append(r.hops, c.hop)
		w.send(r, c.hop)
	case c.peer >= 0:
		r.hops = append(r.hops, c.hop)
		w.relay(r, c.hop)
	case relayed && w.hold(r, e):
	case relayed:
		w.plan(w.now+w.between(e, r.origin), func() { w.back(r, end{kind: decision.Shed}) })
	default:
		w.wait(r, c.reason)
	}
}

// hold keeps a relayed request in the owner's queue for a short time.
func (w *world) hold(r *request, e int) bool {
	patience := w.patience(r, e)
	if r.waited || w.now+patience > r.deadline {
		return false
	}
	r.waited, r.queued = true, true
	q := &w.entries[e].waiting[r.arrival.work]
	*q = append(*q, r)
	w.plan(w.now+patience, func() {
		if r.queued {
			r.queued = false
			w.plan(w.now+w.between(e, r.origin), func() { w.back(r, end{kind: decision.Shed}) })
		}
	})
	return true
}

// wait keeps a request without a slot in the entry's queue for a short time.
func (w *world) wait(r *request, reason string) {
	patience := w.patience(r, r.origin)
	if r.waited || w.now+patience > r.deadline || patience <= 0 {
		w.figures.refuse(w, r, reason)
		return
	}
	r.waited, r.queued, r.avoid = true, true, nil
	q := &w.entries[r.origin].waiting[r.arrival.work]
	*q = append(*q, r)
	w.plan(w.now+patience, func() {
		if r.queued {
			r.queued = false
			w.figures.refuse(w, r, reason)
		}
	})
}

// patience is that of the product's snapshot, for the other policies 10 ms for each slot that an entry has on average.
func (w *world) patience(r *request, e int) time.Duration {
	k := &w.place.works[r.arrival.work]
	if o, ok := w.policy.(*ours); ok && o.brains[e].snapshot != nil {
		return o.brains[e].snapshot.MaxWait(k.service)
	}
	return 10 * time.Millisecond * time.Duration(max(1, k.targets*k.slots/len(w.entries)))
}

// wake lets waiting requests of the entry choose again, oldest first.
func (w *world) wake(e, work int) {
	q := &w.entries[e].waiting[work]
	for len(*q) > 0 {
		r := (*q)[0]
		if r.queued {
			c := w.policy.choose(w, r, e, e != r.origin)
			if c.target < 0 && c.peer < 0 {
				return
			}
			r.queued = false
			r.hops = append(r.hops, c.hop)
			if c.target >= 0 {
				w.send(r, c.hop)
			} else {
				w.relay(r, c.hop)
			}
		}
		*q = (*q)[1:]
	}
}

// between returns the one-way delay between two entries.
func (w *world) between(a, b int) time.Duration {
	x, y := &w.entries[a], &w.entries[b]
	return w.place.delay(x.region, x.spec.Zone(), y.region, y.spec.Zone())
}

func (w *world) relay(r *request, h *hop) {
	from, to := &w.entries[h.entry], &w.entries[h.peer]
	d := w.between(h.entry, h.peer)
	if !to.up || !w.reach(from.region, to.region) {
		w.plan(w.now+refused, func() { w.back(r, end{kind: decision.Shed, unopened: true}) })
		return
	}
	w.plan(w.now+d, func() {
		if !to.up {
			w.back(r, end{kind: decision.Shed, unopened: true})
			return
		}
		w.follow(r, h.peer, true)
	})
}

// send sends the request to the target that the last hop chose.
func (w *world) send(r *request, h *hop) {
	t := &w.targets[h.target]
	t.sent++
	w.monitor.sent(w, r, t)
	e := &w.entries[h.entry]
	if !w.reach(e.region, t.region) {
		w.plan(w.now+refused, func() {
			w.release(t)
			w.back(r, end{kind: decision.Failed})
		})
		return
	}
	if w.instant {
		w.reached(r, t)
		return
	}
	w.plan(w.now+w.delayTo(e, t), func() { w.reached(r, t) })
}

func (w *world) release(t *target) {
	t.sent--
	w.monitor.inFlight[t.region]--
}

func (w *world) delayTo(e *entry, t *target) time.Duration {
	return w.place.delay(e.region, e.spec.Zone(), t.region, t.spec.Zone())
}

// reached lets the target accept or refuse the request.
func (w *world) reached(r *request, t *target) {
	e := &w.entries[r.hops[len(r.hops)-1].entry]
	home := w.delayTo(e, t)
	if w.instant {
		// The way there is added to the way back.
		home *= 2
	}
	switch {
	case !t.up:
		w.release(t)
		w.plan(w.now+refused, func() { w.back(r, end{kind: decision.Failed}) })
		return
	case t.busy >= t.spec.Slots():
		w.release(t)
		w.figures.shed++
		w.plan(w.now+home, func() { w.back(r, end{kind: decision.Shed}) })
		return
	}
	t.busy++
	w.monitor.started(w, t)
	since := t.since
	k := &w.place.works[r.arrival.work]
	w.carry(r, t, k.out, true, func() {
		run := time.Duration(float64(r.arrival.demand) * t.coldness() * t.slow)
		w.plan(w.now+run, func() {
			w.carry(r, t, k.in, false, func() { w.finished(r, t, since, home) })
		})
	})
}

func (w *world) finished(r *request, t *target, since, home time.Duration) {
	w.release(t)
	if t.since != since {
		// The target was lost while the request ran.
		w.back(r, end{kind: decision.Silent})
		return
	}
	t.busy--
	t.served++
	if o, ok := w.policy.(*oracle); ok {
		o.freed(w, r.arrival.work)
	}
	w.plan(w.now+home, func() { w.back(r, end{kind: decision.Answered}) })
}

// carry moves a body between the origin and the target's region chunk by chunk at the link's pace.
func (w *world) carry(r *request, t *target, bytes int64, out bool, then func()) {
	e := &w.entries[r.origin]
	if e.region == t.region {
		then()
		return
	}
	n := min(bytes, chunk)
	from, to := e.region, t.region
	if !out {
		from, to = to, from
	}
	pause := w.policy.pace(w, r.origin, from, to, n, out)
	w.plan(w.now+pause, func() {
		w.monitor.carried(w, from, to, n)
		if bytes > n {
			w.carry(r, t, bytes-n, out, then)
			return
		}
		then()
	})
}

// back ends the last hop and passes the outcome on towards the caller.
func (w *world) back(r *request, x end) {
	h := r.hops[len(r.hops)-1]
	r.hops = r.hops[:len(r.hops)-1]
	x.latency = w.now - h.began
	w.policy.done(w, r, h.entry, h, x)
	x.unopened = false
	if o, ok := w.policy.(*ours); ok && h.entry != r.origin {
		x.free, x.counted = o.free(h.entry, r.arrival.work), true
	}
	if h.target >= 0 && x.kind != decision.Answered {
		r.attempted++
		r.avoid = append(r.avoid, w.targets[h.target].spec.Name())
	} else if h.peer >= 0 && x.kind != decision.Answered {
		r.avoid = append(r.avoid, w.entries[h.peer].spec.Name())
	}
	w.wake(h.entry, r.arrival.work)
	if len(r.hops) > 0 {
		up := r.hops[len(r.hops)-1]
		w.plan(w.now+w.between(h.entry, up.entry), func() { w.back(r, x) })
		return
	}
	w.conclude(r, x)
}

func (w *world) conclude(r *request, x end) {
	switch x.kind {
	case decision.Answered:
		w.plan(w.now+w.place.client, func() { w.figures.answer(w, r) })
	case decision.Shed:
		r.tries++
		w.dispatch(r)
	default:
		// Reads may be repeated; an order that may have run may not.
		if w.place.works[r.arrival.work].read {
			r.tries++
			w.dispatch(r)
			return
		}
		w.figures.end(w, r, "may-have-run")
	}
}
