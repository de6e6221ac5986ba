package capacity

import (
	"context"
	"time"

	"tamarackspool/internal/measure/forward"
)

// RequestRole measures the cost of forwarding requests, which is not part of the control plane, by the number of callers.
type RequestRole struct{ Seed uint64 }

// Name returns the name of the role.
func (RequestRole) Name() string { return "request" }

// Scale counts concurrent callers.
func (RequestRole) Scale() Scale {
	return Scale{Unit: "callers", Sizes: []int{8, 32, 128, 400}, DesignSize: 400}
}

// Measure forwards requests of the given number of callers at full speed and at half of that load.
func (q RequestRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	r, err := forward.Run(ctx, forward.Settings{Seed: q.Seed, Callers: []int{size}, Length: time.Second})
	if err != nil {
		return nil, err
	}
	l := r.Levels[0]
	return map[string]float64{
		"core-µs": 1e6 / r.Core, "allocations": r.Allocs, "bytes": r.Bytes, "full-rate/s": l.Full,
		"added-p50-µs": microseconds(l.Added.P50), "added-p99-µs": microseconds(l.Added.P99), "errors": float64(r.Errors),
	}, nil
}
