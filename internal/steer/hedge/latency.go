package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of the latencies, maxLatency the largest one that is told apart.
	latencyUnit = 100 * time.Microsecond
	maxLatency  = time.Minute
	// latencyDigits gives an error of 1 %, in about 8 KB for each histogram.
	latencyDigits = 2
	// latencyWindow is the time after which a new histogram is begun; the one before it still counts.
	latencyWindow = 30 * time.Second
	// minSamples is the number of latencies from which on the 95th percentile is known: two of them are above it.
	minSamples = 40
	// refreshSamples is the number of new latencies after which the percentiles are computed anew.
	refreshSamples = 16
	// delayQuantile is the percentile of the latencies after which a copy is sent; usualQuantile is the latency that is
	// expected of the copy.
	delayQuantile, usualQuantile = 95, 50
)

// Latency is what is known of the latencies of a rule.
type Latency struct {
	Delay time.Duration // Delay is the 95th percentile.
	Usual time.Duration // Usual is the median.
}

// estimator holds the latencies of one rule in the last one to two windows.
type estimator struct {
	current *hdrhistogram.Histogram // current holds the latencies of the current window.
	all     *hdrhistogram.Histogram // all holds those of the previous window too.
	began   time.Time               // began is the start of the current window.
	fresh   int                     // fresh counts the latencies since the percentiles were computed.
	latency Latency
	known   bool
}

func newEstimator(now time.Time) *estimator {
	return &estimator{current: newHistogram(), all: newHistogram(), began: now}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

func (s *estimator) record(d time.Duration, now time.Time) {
	s.advance(now)
	units := int64(min(max(d, latencyUnit), maxLatency) / latencyUnit)
	_, _ = s.current.RecordValue(units), s.all.RecordValue(units) // The value is in the range.
	if s.fresh++; s.fresh >= refreshSamples || !s.known {
		s.compute()
	}
}

func (s *estimator) get(now time.Time) (Latency, bool) {
	s.advance(now)
	return s.latency, s.known
}

func (s *estimator) advance(now time.Time) {
	age := now.Sub(s.began)
	if age < latencyWindow {
		return
	}
	s.current, s.all = s.all, s.current
	s.current.Reset()
	if age >= 2*latencyWindow {
		s.all.Reset()
	}
	s.began = now
	s.compute()
}

func (s *estimator) compute() {
	s.fresh = 0
	if s.known = s.all.TotalCount() >= minSamples; !s.known {
		return
	}
	s.latency = Latency{
		Delay: time.Duration(s.all.ValueAtQuantile(delayQuantile)) * latencyUnit,
		Usual: time.Duration(s.all.ValueAtQuantile(usualQuantile)) * latencyUnit,
	}
}
