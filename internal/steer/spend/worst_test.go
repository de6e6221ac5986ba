package spend_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/internal/steer/spend"
)

// limits are the limits of every budget in the tests.
var limits = spend.Limits{Ratio: 0.2, Window: 10 * time.Second}

// maxDelay is the longest delay from a caller to its entry, and from an entry to a target, for which the bound holds.
const maxDelay = 2 * time.Second

// fleet simulates the budgets of several entries and records requests and retries as callers and targets see them.
type fleet struct {
	now      time.Duration
	budgets  []*spend.Budget
	requests []time.Duration // requests holds the times at which callers sent their requests.
	arrivals []time.Duration // arrivals holds the times at which retries reached a target.
}

func newFleet(entries int) *fleet {
	p := &fleet{now: 1000 * time.Second, budgets: make([]*spend.Budget, entries)}
	for i := range p.budgets {
		p.restart(i)
	}
	return p
}

func (p *fleet) restart(i int) { p.budgets[i] = spend.NewBudget(limits) }

func (p *fleet) sleep(d time.Duration) { p.now += d }

// addRequests makes the entry receive n requests, which callers sent the given time ago.
func (p *fleet) addRequests(i, n int, ago time.Duration) {
	for range n {
		p.requests = append(p.requests, p.now-ago)
		p.budgets[i].RecordRequest(p.now)
	}
}

// retryAll spends the whole budget of the entry on retries, which arrive after the delay.
func (p *fleet) retryAll(i int, delay time.Duration) {
	for p.budgets[i].TakeRetry(p.now) {
		p.arrivals = append(p.arrivals, p.now+delay)
	}
}

// excess returns by how many retries the worst window exceeds the bound.
func (p *fleet) excess() float64 {
	return ledger.Excess(toTimes(p.requests), toTimes(p.arrivals), limits.Ratio, limits.Window)
}

func toTimes(times []time.Duration) []time.Time {
	all := make([]time.Time, len(times))
	for i, d := range times {
		all[i] = time.Unix(0, int64(d))
	}
	return all
}

// rounding is the tolerance for rounding errors in sums of fractions.
const rounding = 1e-6

func (p *fleet) check(t *testing.T, name string) {
	t.Helper()
	if over := p.excess(); over > rounding {
		t.Errorf("%s, %d entries: %.1f retries in a window beyond the ratio", name, len(p.budgets), over)
	}
}

// Guards against a budget that accumulates during normal operation and that all entries spend at once when targets fail.
func TestAccumulatedRetriesStayWithinTheBound(t *testing.T) {
	for _, entries := range []int{1, 12, 80, 300, 590} {
		for _, pause := range []time.Duration{0, 8 * time.Second, time.Minute} {
			p := newFleet(entries)
			for range 20 {
				for i := range p.budgets {
					p.addRequests(i, 4, 0)
				}
				p.sleep(time.Second)
			}
			p.sleep(pause)
			for range 100 {
				for i := range p.budgets {
					p.retryAll(i, 0)
				}
				p.sleep(100 * time.Millisecond)
			}
			p.check(t, "pause of "+pause.String())
		}
	}
}

// Guards against entries that each spend an allowance meant for all of them, because they do not know each other.
func TestEntriesWithoutPeersStayWithinTheBound(t *testing.T) {
	for _, entries := range []int{12, 80, 300} {
		p := newFleet(entries)
		for tick := range 400 {
			for i := range p.budgets {
				if tick%10 == 0 {
					p.addRequests(i, 1, 0)
				}
				p.retryAll(i, 0)
			}
			p.sleep(100 * time.Millisecond)
		}
		p.check(t, "entries without peers")
	}
}

// Guards against a restarted entry that spends the budget of the process before it a second time.
func TestRestartedEntriesStayWithinTheBound(t *testing.T) {
	for _, entries := range []int{12, 80} {
		p := newFleet(entries)
		for second := range 60 {
			for i := range p.budgets {
				p.addRequests(i, 5, 0)
				if second%10 >= 6 {
					p.retryAll(i, 0)
				}
				if second%7 == i%7 {
					p.restart(i)
				}
			}
			p.sleep(time.Second)
		}
		p.check(t, "restarts")
	}
}

// Guards against bursts at the edges of the counted windows, combined with the longest network delays.
func TestBurstsAtTheEdgesOfWindowsStayWithinTheBound(t *testing.T) {
	const burst = 400
	for _, entries := range []int{1, 12, 80} {
		for gap := time.Second; gap <= 14*time.Second; gap += 500 * time.Millisecond {
			for _, hold := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 5900 * time.Millisecond, 6900 * time.Millisecond} {
				p := newFleet(entries)
				for round := range 6 {
					ago, held, delay := maxDelay, hold, maxDelay
					if round == 5 {
						ago, held, delay = 0, 0, 0
					}
					for i := range p.budgets {
						p.addRequests(i, burst, ago)
					}
					p.sleep(held)
					for i := range p.budgets {
						p.retryAll(i, delay)
					}
					p.sleep(max(gap-held, 0))
				}
				p.check(t, "gap "+gap.String()+", hold "+hold.String())
			}
		}
	}
}

// Guards against any other sequence of requests, retries, pauses and restarts that exceeds the bound.
func TestAnyHistoryStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFleet(rapid.IntRange(1, 6).Draw(t, "entries"))
		entry := rapid.IntRange(0, len(p.budgets)-1)
		delays := rapid.SampledFrom([]time.Duration{0, maxDelay / 4, maxDelay})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := entry.Draw(t, "entry")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				p.addRequests(i, rapid.IntRange(1, 200).Draw(t, "requests"), delays.Draw(t, "ago"))
			case 2, 3:
				p.retryAll(i, delays.Draw(t, "delay"))
			case 4, 5:
				p.sleep(time.Duration(rapid.IntRange(1, 120).Draw(t, "tenths")) * 100 * time.Millisecond)
			default:
				p.restart(i)
			}
		}
		if over := p.excess(); over > rounding {
			t.Fatalf("%.1f retries in a window beyond the ratio", over)
		}
	})
}

// Guards against paused entries that read old requests after the pause and count them as new.
func TestPausedEntriesStayWithinTheBound(t *testing.T) {
	const pause = 6 * time.Second
	p := newFleet(12)
	p.sleep(pause)
	for i := range p.budgets {
		for _, ago := range []time.Duration{pause, pause - time.Second, pause - 2*time.Second} {
			p.addRequests(i, 100, ago)
		}
		p.budgets[i].DiscardUntil(p.now + time.Second/2)
	}
	p.sleep(5 * time.Second)
	for i := range p.budgets {
		p.retryAll(i, maxDelay)
	}
	p.check(t, "paused")
}
