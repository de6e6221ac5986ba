package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Time limits of a scenario for figures that are reported separately.
const (
	settleTime     = 15 * time.Second // after the loss of a region
	recoveryTime   = 10 * time.Second // after the end of an overload
	retryEndTime   = 30 * time.Second // after the end of an overload, when the callers' retries must have ended too
	unmeasuredTail = 5 * time.Second  // at the end of the scenario, whose requests may still be in flight
)

// figures counts the outcomes of requests.
type figures struct {
	offered            int
	answeredInTime     int
	shed               int            // rejections by targets without a free slot
	late               int            // answers after the deadline
	callerRetries      int            // refused requests that callers sent again
	refusals           map[string]int // by reason
	failures           map[string]int // by outcome
	latency            *hdrhistogram.Histogram
	readLatency        *hdrhistogram.Histogram
	settledReadLatency *hdrhistogram.Histogram
	afterOverload      struct{ offered, good int } // requests from recoveryTime after an overload; good ones are answered in time and without a caller's retry
	afterRetries       struct{ offered, good int } // the same from retryEndTime after an overload
}

func newFigures(*deployment) *figures {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	return &figures{refusals: make(map[string]int), failures: make(map[string]int), latency: h(), readLatency: h(), settledReadLatency: h()}
}

func (f *figures) measured(w *world, r *request) bool {
	return r.arrival.at >= warmup && r.arrival.at < w.scenario.length-unmeasuredTail
}

func (f *figures) arrivedAfterRecovery(w *world, r *request) bool {
	return w.scenario.overloaded() && r.arrival.at >= w.scenario.faultEnd+recoveryTime
}

func (f *figures) recordOffered(w *world, r *request) {
	if !f.measured(w, r) {
		return
	}
	f.offered++
	if f.arrivedAfterRecovery(w, r) {
		f.afterOverload.offered++
		if r.arrival.at >= w.scenario.faultEnd+retryEndTime {
			f.afterRetries.offered++
		}
	}
}

func (f *figures) recordAnswer(w *world, r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if !f.measured(w, r) {
		return
	}
	if w.now > r.deadline {
		f.late++
		return
	}
	f.answeredInTime++
	if f.arrivedAfterRecovery(w, r) && r.callerRetries == 0 {
		f.afterOverload.good++
		if r.arrival.at >= w.scenario.faultEnd+retryEndTime {
			f.afterRetries.good++
		}
	}
	took := int64((w.now - r.arrival.at) / time.Microsecond)
	_ = f.latency.RecordValue(took) // the deadline keeps the value in the histogram's range
	if !w.deployment.workloads[r.arrival.workload].readOnly {
		return
	}
	_ = f.readLatency.RecordValue(took)
	if w.scenario.regionLost && r.arrival.at >= w.scenario.faultStart+settleTime && r.arrival.at < w.scenario.faultEnd {
		_ = f.settledReadLatency.RecordValue(took)
	}
}

func (f *figures) recordRefusal(w *world, r *request, reason string) {
	if w.scheduleCallerRetry(r) {
		return
	}
	if !r.ended && f.measured(w, r) {
		f.refusals[reason]++
	}
	f.recordFailure(w, r, "not-run")
}

func (f *figures) recordFailure(w *world, r *request, outcome string) {
	if r.ended {
		return
	}
	r.ended = true
	if f.measured(w, r) {
		f.failures[outcome]++
	}
}
