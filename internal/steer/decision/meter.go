package decision

import "sync/atomic"

// Meter counts the requests of one service and home region against the cap on
// traffic movement. It survives snapshots.
type Meter struct {
	open    atomic.Bool
	left    atomic.Int64
	served  atomic.Int64
	refused atomic.Int64
}

// Take counts a request if the cap allows it.
func (m *Meter) Take() bool {
	if m.open.Load() {
		m.served.Add(1)
		return true
	}
	for {
		n := m.left.Load()
		if n <= 0 {
			m.refused.Add(1)
			return false
		}
		if m.left.CompareAndSwap(n, n-1) {
			m.served.Add(1)
			return true
		}
	}
}

// untake gives back a request that was not served after all.
func (m *Meter) untake() {
	m.served.Add(-1)
	m.left.Add(1)
}

// Set allows n further requests until the next call; open lifts the cap.
func (m *Meter) Set(n int, open bool) {
	m.left.Store(int64(n))
	m.open.Store(open)
}

// Harvest returns the requests served and refused since the last call.
func (m *Meter) Harvest() (served, refused int) {
	return int(m.served.Swap(0)), int(m.refused.Swap(0))
}

// Retries is the retry budget of one service. It survives snapshots.
type Retries struct{ milli atomic.Int64 }

// The retry budget grows with requests and with time, in thousandths of a retry.
const (
	retryCost       = 1000
	retryPerRequest = 100
	retryPerSecond  = 10 * retryCost
	retryMost       = 20 * retryCost
)

// Grow adds the retries that the given seconds allow.
func (r *Retries) Grow(seconds float64) { r.add(int64(seconds * retryPerSecond)) }

// Take uses one retry if the budget holds one.
func (r *Retries) Take() bool {
	for {
		n := r.milli.Load()
		if n < retryCost {
			return false
		}
		if r.milli.CompareAndSwap(n, n-retryCost) {
			return true
		}
	}
}

func (r *Retries) earn() { r.add(retryPerRequest) }

func (r *Retries) add(n int64) {
	for {
		old := r.milli.Load()
		next := min(retryMost, old+n)
		if next == old || r.milli.CompareAndSwap(old, next) {
			return
		}
	}
}
