package decision

import "sync/atomic"

// Meter counts the requests of one service and home region against the cap on
// traffic shifts between regions. It is shared by successive snapshots.
type Meter struct {
	uncapped  atomic.Bool
	remaining atomic.Int64
	served    atomic.Int64
	refused   atomic.Int64
}

// Take counts a request if the cap allows it and reports whether it did.
func (m *Meter) Take() bool {
	if m.uncapped.Load() {
		m.served.Add(1)
		return true
	}
	for {
		n := m.remaining.Load()
		if n <= 0 {
			m.refused.Add(1)
			return false
		}
		if m.remaining.CompareAndSwap(n, n-1) {
			m.served.Add(1)
			return true
		}
	}
}

// undo reverts Take for a request that was not served.
func (m *Meter) undo() {
	m.served.Add(-1)
	m.remaining.Add(1)
}

// SetAllowance allows n further requests until the next call, or any number if uncapped.
func (m *Meter) SetAllowance(n int, uncapped bool) {
	m.remaining.Store(int64(n))
	m.uncapped.Store(uncapped)
}

// TakeCounts returns the requests served and refused since the last call.
func (m *Meter) TakeCounts() (served, refused int) {
	return int(m.served.Swap(0)), int(m.refused.Swap(0))
}

// RetryBudget is the retry budget of one service. It is shared by successive snapshots.
type RetryBudget struct{ milliRetries atomic.Int64 }

// The retry budget grows with requests and with time, up to a maximum; amounts are in thousandths of a retry.
const (
	retryCost       = 1000
	retryPerRequest = 100
	retryPerSecond  = 10 * retryCost
	maxMilliRetries = 20 * retryCost
)

// Refill adds the retries that the given seconds allow.
func (r *RetryBudget) Refill(seconds float64) { r.add(int64(seconds * retryPerSecond)) }

// Take spends one retry if the budget holds one and reports whether it did.
func (r *RetryBudget) Take() bool {
	for {
		n := r.milliRetries.Load()
		if n < retryCost {
			return false
		}
		if r.milliRetries.CompareAndSwap(n, n-retryCost) {
			return true
		}
	}
}

func (r *RetryBudget) addRequest() { r.add(retryPerRequest) }

func (r *RetryBudget) add(n int64) {
	for {
		old := r.milliRetries.Load()
		next := min(maxMilliRetries, old+n)
		if next == old || r.milliRetries.CompareAndSwap(old, next) {
			return
		}
	}
}
