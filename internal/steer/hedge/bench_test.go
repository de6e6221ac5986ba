package hedge_test

import (
	"testing"
	"time"

	"tamarackspool/internal/steer/hedge"
)

// BenchmarkRequest measures what an answered request costs where copies are on.
func BenchmarkRequest(b *testing.B) {
	s, now := hedge.New(0.1), time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		s.RecordRequest()
		_, _ = s.Latency("r", now)
		s.RecordLatency("r", time.Duration(i%1000)*time.Millisecond, now)
	}
}

// BenchmarkRule measures the memory of one rule.
func BenchmarkRule(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		hedge.New(0.1).RecordLatency("r", time.Millisecond, time.Unix(1000, 0))
	}
}
