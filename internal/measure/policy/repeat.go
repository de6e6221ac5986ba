package policy

import "time"

// retryAfter is the Retry-After value of a refusal because of overload.
const retryAfter = time.Second

// scheduleCallerRetry schedules the caller's retry of a refused request after the
// Retry-After delay and reports whether the caller retries.
func (w *world) scheduleCallerRetry(r *request) bool {
	retryAt := w.now + w.deployment.clientDelay + retryAfter
	if r.ended || r.callerRetries >= w.scenario.maxCallerRetries || !w.scenario.newDeadlinePerRetry && retryAt >= r.deadline {
		return false
	}
	r.ended = true
	w.figures.callerRetries++
	next := &request{arrival: r.arrival, originEntry: r.originEntry, deadline: r.deadline, callerRetries: r.callerRetries + 1}
	if w.scenario.newDeadlinePerRetry {
		next.deadline = retryAt + w.deployment.workloads[r.arrival.workload].timeout
	}
	w.schedule(retryAt+w.deployment.clientDelay, func() { w.dispatch(next) })
	return true
}
