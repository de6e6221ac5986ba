package spend_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/internal/steer/spend"
)

// terms are those of the tests.
var terms = spend.Terms{Ratio: 0.2, Window: 10 * time.Second}

// way is the longest time that a request takes to its entry, and a repeat to its target, by the bound.
const way = 2 * time.Second

// play is a deployment whose requests and repeats are counted as the users count them.
type play struct {
	now      time.Duration
	budgets  []*spend.Budget
	requests []time.Duration // requests holds when callers sent their requests.
	arrivals []time.Duration // arrivals holds when repeats reached a target.
}

func newPlay(entries int) *play {
	p := &play{now: 1000 * time.Second, budgets: make([]*spend.Budget, entries)}
	for i := range p.budgets {
		p.restart(i)
	}
	return p
}

func (p *play) restart(i int) { p.budgets[i] = spend.New(terms) }

func (p *play) pass(d time.Duration) { p.now += d }

// ask lets an entry take n requests, which callers sent the given time ago.
func (p *play) ask(i, n int, ago time.Duration) {
	for range n {
		p.requests = append(p.requests, p.now-ago)
		p.budgets[i].Request(p.now)
	}
}

// exhaust lets an entry repeat as often as it may; the repeats arrive after the delay.
func (p *play) exhaust(i int, delay time.Duration) {
	for p.budgets[i].Take(p.now) {
		p.arrivals = append(p.arrivals, p.now+delay)
	}
}

// excess returns by how many repeats the fullest of all windows exceeds the ratio of the requests that count.
func (p *play) excess() float64 {
	return ledger.Excess(moments(p.requests), moments(p.arrivals), terms.Ratio, terms.Window)
}

func moments(times []time.Duration) []time.Time {
	all := make([]time.Time, len(times))
	for i, d := range times {
		all[i] = time.Unix(0, int64(d))
	}
	return all
}

// rounding is what sums of fractions may be off by.
const rounding = 1e-6

func (p *play) check(t *testing.T, name string) {
	t.Helper()
	if over := p.excess(); over > rounding {
		t.Errorf("%s, %d entries: %.1f repeats in a window beyond the ratio", name, len(p.budgets), over)
	}
}

// Guards against repeats that all entries together saved up in quiet times and spend at once when targets fail.
func TestRepeatsSavedInQuietTimesStayWithinTheTerms(t *testing.T) {
	for _, entries := range []int{1, 12, 80, 300, 590} {
		for _, pause := range []time.Duration{0, 8 * time.Second, time.Minute} {
			p := newPlay(entries)
			for range 20 {
				for i := range p.budgets {
					p.ask(i, 4, 0)
				}
				p.pass(time.Second)
			}
			p.pass(pause)
			for range 100 {
				for i := range p.budgets {
					p.exhaust(i, 0)
				}
				p.pass(100 * time.Millisecond)
			}
			p.check(t, "pause of "+pause.String())
		}
	}
}

// Guards against entries that each spend the slack of a fleet of which they know nothing.
func TestEntriesThatKnowOfNoOthersStayWithinTheTerms(t *testing.T) {
	for _, entries := range []int{12, 80, 300} {
		p := newPlay(entries)
		for tick := range 400 {
			for i := range p.budgets {
				if tick%10 == 0 {
					p.ask(i, 1, 0)
				}
				p.exhaust(i, 0)
			}
			p.pass(100 * time.Millisecond)
		}
		p.check(t, "each knows itself only")
	}
}

// Guards against entries that spend before they end what their successors may spend again.
func TestEntriesThatEndAndStartStayWithinTheTerms(t *testing.T) {
	for _, entries := range []int{12, 80} {
		p := newPlay(entries)
		for second := range 60 {
			for i := range p.budgets {
				p.ask(i, 5, 0)
				if second%10 >= 6 {
					p.exhaust(i, 0)
				}
				if second%7 == i%7 {
					p.restart(i)
				}
			}
			p.pass(time.Second)
		}
		p.check(t, "restarts")
	}
}

// Guards against loads that come and go at the edges of the windows that count, and ways of the longest time.
func TestLoadAtTheEdgesOfWindowsStaysWithinTheTerms(t *testing.T) {
	const burst = 400
	for _, entries := range []int{1, 12, 80} {
		for gap := time.Second; gap <= 14*time.Second; gap += 500 * time.Millisecond {
			for _, hold := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 5900 * time.Millisecond, 6900 * time.Millisecond} {
				p := newPlay(entries)
				for round := range 6 {
					ago, held, delay := way, hold, way
					if round == 5 {
						ago, held, delay = 0, 0, 0
					}
					for i := range p.budgets {
						p.ask(i, burst, ago)
					}
					p.pass(held)
					for i := range p.budgets {
						p.exhaust(i, delay)
					}
					p.pass(max(gap-held, 0))
				}
				p.check(t, "gap "+gap.String()+", hold "+hold.String())
			}
		}
	}
}

// Guards against any other history of requests, repeats, pauses and restarts that exceeds the terms.
func TestAnyHistoryStaysWithinTheTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(rapid.IntRange(1, 6).Draw(t, "entries"))
		entry := rapid.IntRange(0, len(p.budgets)-1)
		ways := rapid.SampledFrom([]time.Duration{0, way / 4, way})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := entry.Draw(t, "entry")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				p.ask(i, rapid.IntRange(1, 200).Draw(t, "requests"), ways.Draw(t, "ago"))
			case 2, 3:
				p.exhaust(i, ways.Draw(t, "delay"))
			case 4, 5:
				p.pass(time.Duration(rapid.IntRange(1, 120).Draw(t, "tenths")) * 100 * time.Millisecond)
			default:
				p.restart(i)
			}
		}
		if over := p.excess(); over > rounding {
			t.Fatalf("%.1f repeats in a window beyond the ratio", over)
		}
	})
}

// Guards against entries that stood still and then repeat more than the terms allow for what callers sent long ago.
func TestEntriesThatStoodStillStayWithinTheTerms(t *testing.T) {
	const still = 6 * time.Second
	p := newPlay(12)
	p.pass(still)
	for i := range p.budgets {
		for _, ago := range []time.Duration{still, still - time.Second, still - 2*time.Second} {
			p.ask(i, 100, ago)
		}
		p.budgets[i].Forget(p.now + time.Second/2)
	}
	p.pass(5 * time.Second)
	for i := range p.budgets {
		p.exhaust(i, way)
	}
	p.check(t, "stood still")
}
