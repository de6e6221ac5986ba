package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times in a scenario for which figures are kept apart.
const (
	settle = 15 * time.Second // after a region was lost
	regain = 10 * time.Second // after an overload has ended
	calm   = 30 * time.Second // after an overload has ended, when repeats must have ended too
	tail   = 5 * time.Second  // at the end, in which requests may not have ended
)

// figures count how requests have ended.
type figures struct {
	offered  int
	good     int
	shed     int // refusals by targets
	late     int
	repeated int // refused requests that were sent again
	refusals map[string]int
	ends     map[string]int
	all      *hdrhistogram.Histogram
	reads    *hdrhistogram.Histogram
	settled  *hdrhistogram.Histogram
	after    struct{ offered, good int }
	later    struct{ offered, good int }
}

func newFigures(*deployment) *figures {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	return &figures{refusals: make(map[string]int), ends: make(map[string]int), all: h(), reads: h(), settled: h()}
}

func (f *figures) counted(w *world, r *request) bool {
	return r.arrival.at >= warmup && r.arrival.at < w.script.length-tail
}

func (f *figures) recovered(w *world, r *request) bool {
	return w.script.overloaded() && r.arrival.at >= w.script.to+regain
}

func (f *figures) offer(w *world, r *request) {
	if !f.counted(w, r) {
		return
	}
	f.offered++
	if f.recovered(w, r) {
		f.after.offered++
		if r.arrival.at >= w.script.to+calm {
			f.later.offered++
		}
	}
}

func (f *figures) answer(w *world, r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if !f.counted(w, r) {
		return
	}
	if w.now > r.deadline {
		f.late++
		return
	}
	f.good++
	if f.recovered(w, r) && r.repeats == 0 {
		f.after.good++
		if r.arrival.at >= w.script.to+calm {
			f.later.good++
		}
	}
	took := int64((w.now - r.arrival.at) / time.Microsecond)
	_ = f.all.RecordValue(took) // the deadline keeps it in the range
	if !w.place.works[r.arrival.work].read {
		return
	}
	_ = f.reads.RecordValue(took)
	if w.script.lost && r.arrival.at >= w.script.from+settle && r.arrival.at < w.script.to {
		_ = f.settled.RecordValue(took)
	}
}

func (f *figures) refuse(w *world, r *request, reason string) {
	if w.repeat(r) {
		return
	}
	if !r.ended && f.counted(w, r) {
		f.refusals[reason]++
	}
	f.end(w, r, "not-run")
}

func (f *figures) end(w *world, r *request, how string) {
	if r.ended {
		return
	}
	r.ended = true
	if f.counted(w, r) {
		f.ends[how]++
	}
}
