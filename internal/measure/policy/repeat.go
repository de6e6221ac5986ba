package policy

import "time"

// retryAfter is the Retry-After of a refusal for overload.
const retryAfter = time.Second

// repeat lets the caller of a refused request send it again after the
// Retry-After and reports whether it does.
func (w *world) repeat(r *request) bool {
	again := w.now + w.place.client + retryAfter
	if r.ended || r.repeats >= w.script.repeats || !w.script.persist && again >= r.deadline {
		return false
	}
	r.ended = true
	w.figures.repeated++
	next := &request{arrival: r.arrival, origin: r.origin, deadline: r.deadline, repeats: r.repeats + 1}
	if w.script.persist {
		next.deadline = again + w.place.works[r.arrival.work].timeout
	}
	w.plan(again+w.place.client, func() { w.dispatch(next) })
	return true
}
