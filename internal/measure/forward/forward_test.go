package forward_test

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tamarackspool/internal/measure/forward"
)

// Guards against a measurement that does not complete or leaks goroutines.
func TestRunReportsLatencies(t *testing.T) {
	defer func() {
		time.Sleep(time.Second) // net/http keeps the connection of a rejected upload open for half a second.
		goleak.VerifyNone(t)
	}()
	r, err := forward.Run(t.Context(), forward.Settings{Callers: []int{2}, Length: 50 * time.Millisecond, Idle: 5, Uploads: 2})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Levels) != 1 || r.Levels[0].Through.P50 <= 0 || r.Errors != 0 {
		t.Errorf("report %+v", r)
	}
}

// Guards against a level without a measured latency that is reported as 0 µs: when requests are slower
// than the phase, the first paced call used to fall behind its end.
func TestSlowRequestsAreMeasured(t *testing.T) {
	const work = 200 * time.Millisecond
	r, err := forward.Run(t.Context(), forward.Settings{Callers: []int{2}, Length: 50 * time.Millisecond, Work: work})
	if err != nil {
		t.Fatal(err)
	}
	if l := r.Levels[0]; l.Through.P50 < work || l.Direct.P50 < work {
		t.Errorf("latencies %v and %v of requests that take %v", l.Through, l.Direct, work)
	}
}

// Guards against a report of 0 µs when no latency is within the recorded range.
func TestLevelWithoutSampleIsAnError(t *testing.T) {
	_, err := forward.Run(t.Context(), forward.Settings{
		Callers: []int{1}, Length: 50 * time.Millisecond, Work: 50 * time.Millisecond, Longest: time.Millisecond,
	})
	if !errors.Is(err, forward.ErrNoSample) {
		t.Errorf("error %v, want %v", err, forward.ErrNoSample)
	}
}

// BenchmarkRequestPath logs the whole report; run it with -benchtime 1x.
func BenchmarkRequestPath(b *testing.B) {
	for b.Loop() {
		r, err := forward.Run(b.Context(), forward.Settings{Seed: 1, Idle: 5000, Uploads: 200})
		if err != nil {
			b.Fatal(err)
		}
		b.Logf("\n%v", r)
	}
}
