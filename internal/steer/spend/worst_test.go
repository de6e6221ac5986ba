package spend_test

import (
	"slices"
	"testing"
	"time"

	"tamarackspool/internal/steer/spend"
)

// play is a deployment whose every request and repeat is counted as the terms count them.
type play struct {
	terms    spend.Terms
	now      time.Time
	known    int // known is how many entries each entry knows of.
	budgets  []*spend.Budget
	requests []time.Time // requests holds when callers sent their requests.
	arrivals []time.Time // arrivals holds when repeats reached a target.
}

func newPlay(terms spend.Terms, entries, known int) *play {
	p := &play{terms: terms, now: time.Unix(1000, 0), known: known, budgets: make([]*spend.Budget, entries)}
	for i := range p.budgets {
		p.restart(i)
	}
	return p
}

func (p *play) restart(i int) { p.budgets[i] = spend.New(p.terms, p.now) }

func (p *play) pass(d time.Duration) { p.now = p.now.Add(d) }

// ask lets an entry take n requests, which callers sent the given time ago.
func (p *play) ask(i, n int, ago time.Duration) {
	for range n {
		p.requests = append(p.requests, p.now.Add(-ago))
		p.budgets[i].Request()
	}
}

// exhaust lets an entry repeat as often as it may; the repeats arrive after the delay.
func (p *play) exhaust(i int, delay time.Duration) {
	for p.budgets[i].Take(p.known, p.now) {
		p.arrivals = append(p.arrivals, p.now.Add(delay))
	}
}

// check fails the test when some window holds more repeats than the terms allow.
func (p *play) check(t *testing.T, name string) {
	t.Helper()
	slices.SortFunc(p.requests, time.Time.Compare)
	slices.SortFunc(p.arrivals, time.Time.Compare)
	most := 0.0
	for _, at := range p.arrivals {
		allowed := 0
		for _, back := range []time.Duration{0, p.terms.Window / 2, p.terms.Window} {
			allowed = max(allowed, within(p.requests, at.Add(-back), p.terms.Window))
		}
		over := float64(within(p.arrivals, at, p.terms.Window)) - p.terms.Ratio*float64(allowed) - p.terms.Slack
		most = max(most, over)
	}
	if most > 0 {
		t.Errorf("%s, %d entries: %.0f repeats in a window beyond the terms", name, len(p.budgets), most)
	}
}

// within returns how many of the sorted times lie in the window that begins at the given one.
func within(times []time.Time, from time.Time, window time.Duration) int {
	low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	high, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return high - low
}

// Guards against repeats that all entries together saved up in quiet times and spend at once when targets fail.
func TestRepeatsSavedInQuietTimesStayWithinTheTerms(t *testing.T) {
	terms := spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	for _, entries := range []int{1, 12, 80, 300, 590} {
		for _, pause := range []time.Duration{0, 8 * time.Second, time.Minute} {
			p := newPlay(terms, entries, entries)
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
	terms := spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	for _, entries := range []int{12, 80, 300} {
		p := newPlay(terms, entries, 1)
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
	terms := spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	for _, entries := range []int{12, 80} {
		p := newPlay(terms, entries, entries)
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

// Guards against loads that come and go at the edges of the windows that count, with requests that
// reach their entry late and repeats that arrive late.
func TestLoadAtTheEdgesOfWindowsStaysWithinTheTerms(t *testing.T) {
	terms := spend.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	const burst = 400
	for _, entries := range []int{1, 12, 80} {
		for gap := time.Second; gap <= 12*time.Second; gap += 500 * time.Millisecond {
			for _, hold := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 6900 * time.Millisecond} {
				p := newPlay(terms, entries, entries)
				for round := range 6 {
					for i := range p.budgets {
						p.ask(i, burst, 900*time.Millisecond)
					}
					p.pass(hold)
					delay := 1900 * time.Millisecond
					if round%2 == 1 {
						delay = 0
					}
					for i := range p.budgets {
						p.exhaust(i, delay)
					}
					p.pass(max(gap-hold, 0))
				}
				p.check(t, "gap "+gap.String()+", hold "+hold.String())
			}
		}
	}
}
