package policy

import (
	"time"

	"tamarackspool/internal/steer/decision"
)

// Limits and delays of a request's attempts.
const (
	maxAttempts         = 4
	chunkBytes          = 64 << 10
	connectFailureDelay = 10 * time.Millisecond // until opening a connection to a lost VM fails
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	kind      decision.Kind
	freeSlots int // free slots at the entry that owns the target, reported with a relayed response
	freeKnown bool
	latency   time.Duration
	// connectFailed is set when no connection to the peer could be opened.
	connectFailed bool
}

// hop is the state that one entry keeps for a request.
type hop struct {
	entry     int
	target    int
	peer      int
	startedAt time.Duration
	choice    decision.Choice
}

// request is a caller's request in flight.
type request struct {
	arrival         *arrival
	originEntry     int
	deadline        time.Duration
	retries         int
	targetAttempts  int      // attempts at targets that were not answered
	chargedAttempts int      // attempts already charged to the retry budget
	excluded        []string // names of the targets and peers whose attempts were not answered
	hops            []*hop
	queued          bool // waits in an entry's queue
	wasQueued       bool // has waited in a queue; a request waits at most once
	ended           bool
	callerRetries   int // retries by the caller after refusals
}

// startRequest sends a caller's request to an entry of its home region, or of another region when no entry of the home region is up.
func (w *world) startRequest(a *arrival) {
	delay := w.deployment.clientDelay
	draw := a.entryDraw
	if w.scenario.singleEntryLoad && w.scenario.faultActive(w.now) && a.homeRegion == 0 && a.workload == len(w.deployment.workloads)-1 {
		draw = 0
	}
	e := w.pickEntry(a.homeRegion, draw)
	if e < 0 {
		delay += w.deployment.regionDelay
		e = w.pickEntry((a.homeRegion+1+int(a.entryDraw>>32)%2)%len(w.deployment.regions), a.entryDraw)
	}
	r := &request{arrival: a, originEntry: e, deadline: a.at + w.deployment.workloads[a.workload].timeout}
	w.figures.recordOffered(w, r)
	w.schedule(w.now+delay, func() { w.dispatch(r) })
}

func (w *world) pickEntry(region int, draw uint64) int {
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

// dispatch lets the origin entry choose a target, or ends the request after its deadline or too many retries.
func (w *world) dispatch(r *request) {
	if r.ended || !w.entries[r.originEntry].up {
		w.figures.recordFailure(w, r, "lost")
		return
	}
	if w.now >= r.deadline || r.retries >= maxAttempts {
		if w.scheduleCallerRetry(r) {
			return
		}
		w.figures.recordFailure(w, r, "not-run")
		return
	}
	w.routeFrom(r, r.originEntry, false)
}

func (w *world) routeFrom(r *request, e int, relayed bool) {
	c := w.policy.choose(w, r, e, relayed)
	switch {
	case c.target >= 0:
		r.hops = append(r.hops, c.hop)
		w.sendToTarget(r, c.hop)
	case c.peer >= 0:
		r.hops = append(r.hops, c.hop)
		w.sendToPeer(r, c.hop)
	case relayed && w.queueRelayed(r, e):
	case relayed:
		w.schedule(w.now+w.entryDelay(e, r.originEntry), func() { w.returnResult(r, attemptResult{kind: decision.Shed}) })
	default:
		w.queueAtOrigin(r, c.reason)
	}
}

// queueRelayed queues a relayed request for a slot at entry e, which owns targets of its service, for up to maxQueueTime and reports false when the request cannot wait.
func (w *world) queueRelayed(r *request, e int) bool {
	maxWait := w.maxQueueTime(r, e)
	if r.wasQueued || w.now+maxWait > r.deadline {
		return false
	}
	r.wasQueued, r.queued = true, true
	q := &w.entries[e].queues[r.arrival.workload]
	*q = append(*q, r)
	w.schedule(w.now+maxWait, func() {
		if r.queued {
			r.queued = false
			w.schedule(w.now+w.entryDelay(e, r.originEntry), func() { w.returnResult(r, attemptResult{kind: decision.Shed}) })
		}
	})
	return true
}

// queueAtOrigin queues a request for which no slot is free at its origin entry for up to maxQueueTime, or refuses it.
func (w *world) queueAtOrigin(r *request, reason string) {
	maxWait := w.maxQueueTime(r, r.originEntry)
	if r.wasQueued || w.now+maxWait > r.deadline || maxWait <= 0 {
		w.figures.recordRefusal(w, r, reason)
		return
	}
	r.wasQueued, r.queued, r.excluded = true, true, nil
	q := &w.entries[r.originEntry].queues[r.arrival.workload]
	*q = append(*q, r)
	w.schedule(w.now+maxWait, func() {
		if r.queued {
			r.queued = false
			w.figures.recordRefusal(w, r, reason)
		}
	})
}

// maxQueueTime returns the MaxWait of the product's snapshot; for the other policies, 10 ms per slot that an entry has on average.
func (w *world) maxQueueTime(r *request, e int) time.Duration {
	k := &w.deployment.workloads[r.arrival.workload]
	if o, ok := w.policy.(*productPolicy); ok && o.states[e].snapshot != nil {
		return o.states[e].snapshot.MaxWait(k.service)
	}
	return 10 * time.Millisecond * time.Duration(max(1, k.targetCount*k.slots/len(w.entries)))
}

// serveQueue routes queued requests of the entry, oldest first, until one finds no target.
func (w *world) serveQueue(e, workload int) {
	q := &w.entries[e].queues[workload]
	for len(*q) > 0 {
		r := (*q)[0]
		if r.queued {
			c := w.policy.choose(w, r, e, e != r.originEntry)
			if c.target < 0 && c.peer < 0 {
				return
			}
			r.queued = false
			r.hops = append(r.hops, c.hop)
			if c.target >= 0 {
				w.sendToTarget(r, c.hop)
			} else {
				w.sendToPeer(r, c.hop)
			}
		}
		*q = (*q)[1:]
	}
}

// entryDelay returns the one-way delay between two entries.
func (w *world) entryDelay(a, b int) time.Duration {
	x, y := &w.entries[a], &w.entries[b]
	return w.deployment.delay(x.region, x.spec.Zone(), y.region, y.spec.Zone())
}

func (w *world) sendToPeer(r *request, h *hop) {
	from, to := &w.entries[h.entry], &w.entries[h.peer]
	d := w.entryDelay(h.entry, h.peer)
	if !to.up || !w.regionsConnected(from.region, to.region) {
		w.schedule(w.now+connectFailureDelay, func() { w.returnResult(r, attemptResult{kind: decision.Shed, connectFailed: true}) })
		return
	}
	w.schedule(w.now+d, func() {
		if !to.up {
			w.returnResult(r, attemptResult{kind: decision.Shed, connectFailed: true})
			return
		}
		w.routeFrom(r, h.peer, true)
	})
}

// sendToTarget sends the request to the target that the last hop chose.
func (w *world) sendToTarget(r *request, h *hop) {
	t := &w.targets[h.target]
	t.dispatched++
	w.monitor.recordSent(w, r, t)
	e := &w.entries[h.entry]
	if !w.regionsConnected(e.region, t.region) {
		w.schedule(w.now+connectFailureDelay, func() {
			w.releaseSlot(t)
			w.returnResult(r, attemptResult{kind: decision.Failed})
		})
		return
	}
	if w.instantDelivery {
		w.arriveAtTarget(r, t)
		return
	}
	w.schedule(w.now+w.targetDelay(e, t), func() { w.arriveAtTarget(r, t) })
}

func (w *world) releaseSlot(t *target) {
	t.dispatched--
	w.monitor.inFlight[t.region]--
}

func (w *world) targetDelay(e *entry, t *target) time.Duration {
	return w.deployment.delay(e.region, e.spec.Zone(), t.region, t.spec.Zone())
}

// arriveAtTarget runs the request at the target, or rejects it when the target is down or has no free slot.
func (w *world) arriveAtTarget(r *request, t *target) {
	e := &w.entries[r.hops[len(r.hops)-1].entry]
	returnDelay := w.targetDelay(e, t)
	if w.instantDelivery {
		// The request's delay is added to that of the response.
		returnDelay *= 2
	}
	switch {
	case !t.up:
		w.releaseSlot(t)
		w.schedule(w.now+connectFailureDelay, func() { w.returnResult(r, attemptResult{kind: decision.Failed}) })
		return
	case t.busySlots >= t.spec.Slots():
		w.releaseSlot(t)
		w.figures.shed++
		w.schedule(w.now+returnDelay, func() { w.returnResult(r, attemptResult{kind: decision.Shed}) })
		return
	}
	t.busySlots++
	w.monitor.recordStart(w, t)
	changedAt := t.changedAt
	k := &w.deployment.workloads[r.arrival.workload]
	w.transferBody(r, t, k.requestBytes, true, func() {
		run := time.Duration(float64(r.arrival.warmServiceTime) * t.coldFactor() * t.slowFactor)
		w.schedule(w.now+run, func() {
			w.transferBody(r, t, k.responseBytes, false, func() { w.finishAtTarget(r, t, changedAt, returnDelay) })
		})
	})
}

func (w *world) finishAtTarget(r *request, t *target, changedAt, returnDelay time.Duration) {
	w.releaseSlot(t)
	if t.changedAt != changedAt {
		// The target was lost while the request ran.
		w.returnResult(r, attemptResult{kind: decision.Silent})
		return
	}
	t.busySlots--
	t.servedSinceCold++
	if o, ok := w.policy.(*oracle); ok {
		o.slotFreed(w, r.arrival.workload)
	}
	w.schedule(w.now+returnDelay, func() { w.returnResult(r, attemptResult{kind: decision.Answered}) })
}

// transferBody sends a body between the origin and the target's region in chunks, at the rate that the policy allows on the link.
func (w *world) transferBody(r *request, t *target, bytes int64, outbound bool, then func()) {
	e := &w.entries[r.originEntry]
	if e.region == t.region {
		then()
		return
	}
	n := min(bytes, chunkBytes)
	from, to := e.region, t.region
	if !outbound {
		from, to = to, from
	}
	pause := w.policy.chargeLink(w, r.originEntry, from, to, n, outbound)
	w.schedule(w.now+pause, func() {
		w.monitor.recordBytes(w, from, to, n)
		if bytes > n {
			w.transferBody(r, t, bytes-n, outbound, then)
			return
		}
		then()
	})
}

// returnResult ends the last hop and returns the result to the hop before it, or handles it at the origin.
func (w *world) returnResult(r *request, result attemptResult) {
	h := r.hops[len(r.hops)-1]
	r.hops = r.hops[:len(r.hops)-1]
	result.latency = w.now - h.startedAt
	w.policy.attemptEnded(w, r, h.entry, h, result)
	result.connectFailed = false
	if o, ok := w.policy.(*productPolicy); ok && h.entry != r.originEntry {
		result.freeSlots, result.freeKnown = o.freeSlots(h.entry, r.arrival.workload), true
	}
	if h.target >= 0 && result.kind != decision.Answered {
		r.targetAttempts++
		r.excluded = append(r.excluded, w.targets[h.target].spec.Name())
	} else if h.peer >= 0 && result.kind != decision.Answered {
		r.excluded = append(r.excluded, w.entries[h.peer].spec.Name())
	}
	w.serveQueue(h.entry, r.arrival.workload)
	if len(r.hops) > 0 {
		previous := r.hops[len(r.hops)-1]
		w.schedule(w.now+w.entryDelay(h.entry, previous.entry), func() { w.returnResult(r, result) })
		return
	}
	w.handleResult(r, result)
}

func (w *world) handleResult(r *request, result attemptResult) {
	switch result.kind {
	case decision.Answered:
		w.schedule(w.now+w.deployment.clientDelay, func() { w.figures.recordAnswer(w, r) })
	case decision.Shed:
		r.retries++
		w.dispatch(r)
	default:
		// Reads may be retried; an order that may have run may not.
		if w.deployment.workloads[r.arrival.workload].readOnly {
			r.retries++
			w.dispatch(r)
			return
		}
		w.figures.recordFailure(w, r, "may-have-run")
	}
}
