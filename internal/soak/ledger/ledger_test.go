package ledger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tamarackspool/internal/soak/ledger"
)

// Guards against a check that never fails, and against one that fails although the promise holds.
func TestEachPromiseIsChecked(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name string
		fill func(l *ledger.Ledger) []ledger.Run
		want ledger.Promise
	}{
		{"no violation", func(l *ledger.Ledger) []ledger.Run {
			l.AddAttempt(ledger.Attempt{ID: "a", Order: true, Status: 200, Success: true, Complete: true})
			return []ledger.Run{{ID: "a"}}
		}, ""},
		{"the body of another response", func(l *ledger.Ledger) []ledger.Run {
			l.AddAttempt(ledger.Attempt{ID: "a", Status: 200, Success: true})
			return nil
		}, ledger.Whole},
		{"two runs", func(*ledger.Ledger) []ledger.Run { return []ledger.Run{{ID: "o"}, {ID: "o"}} }, ledger.Once},
		{"two runs of a read", func(*ledger.Ledger) []ledger.Run { return []ledger.Run{{ID: "r"}, {ID: "r"}} }, ""},
		{"ran although reported as not run", func(l *ledger.Ledger) []ledger.Run {
			l.AddAttempt(ledger.Attempt{ID: "a", Order: true, Status: 503, NotRun: true})
			return []ledger.Run{{ID: "a"}}
		}, ledger.NotRun},
		{"interrupted by a stop", func(l *ledger.Ledger) []ledger.Run {
			l.AddAttempt(ledger.Attempt{ID: "a", Sent: at(50), Done: at(51)})
			return []ledger.Run{{ID: "a", At: at(50)}}
		}, ledger.Stop},
		{"interrupted by a disturbance", func(l *ledger.Ledger) []ledger.Run {
			l.AddDisturbance(at(47), at(48))
			l.AddAttempt(ledger.Attempt{ID: "a", Sent: at(50), Done: at(51)})
			return []ledger.Run{{ID: "a", At: at(50)}}
		}, ""},
		{"the caller disconnected", func(l *ledger.Ledger) []ledger.Run {
			l.AddAttempt(ledger.Attempt{ID: "a", Abandoned: true, Sent: at(50), Done: at(51)})
			return []ledger.Run{{ID: "a", At: at(50)}}
		}, ""},
		{"run at a draining target after the limit", func(l *ledger.Ledger) []ledger.Run {
			l.AddDrain("t", at(50))
			return []ledger.Run{{ID: "x", Target: "t", At: at(54)}}
		}, ledger.Drain},
		{"run at a draining target within the limit", func(l *ledger.Ledger) []ledger.Run {
			l.AddDrain("t", at(50))
			return []ledger.Run{{ID: "x", Target: "t", At: at(52)}}
		}, ""},
		{"an old version after the limit", func(l *ledger.Ledger) []ledger.Run {
			l.AddVersion("s1", at(10))
			l.AddVersion("s2", at(50))
			return []ledger.Run{{ID: "x", Service: "s1", MovingRule: true, At: at(54)}}
		}, ledger.Version},
		{"an old and a new version within the limit", func(l *ledger.Ledger) []ledger.Run {
			l.AddVersion("s1", at(10))
			l.AddVersion("s2", at(50))
			return []ledger.Run{{ID: "x", Service: "s1", MovingRule: true, At: at(52)}, {ID: "y", Service: "s2", MovingRule: true, At: at(52)}}
		}, ""},
		{"not served after the last disturbance", func(l *ledger.Ledger) []ledger.Run {
			l.AddDisturbance(at(60), at(80))
			for range 9 {
				l.AddAttempt(ledger.Attempt{ID: "z", Sent: at(90), Status: 503})
			}
			return nil
		}, ledger.Recovery},
	} {
		l := ledger.New()
		l.AddAttempt(ledger.Attempt{ID: "o", Order: true, Sent: at(100), Status: 200, Success: true, Complete: true})
		l.AddAttempt(ledger.Attempt{ID: "r", Sent: at(100), Status: 200, Success: true, Complete: true})
		violations := l.Check(c.fill(l), nil)
		found := ledger.Promise("")
		for _, b := range violations {
			// The failed attempts of some cases also break the recovery promise.
			if b.Promise != ledger.Recovery || c.want == ledger.Recovery {
				found = b.Promise
			}
		}
		if found != c.want {
			t.Errorf("%s: %v, want %q", c.name, violations, c.want)
		}
	}
}

// Guards against a check that misses too many repeats in a window, and against one that reports a number within the retry budget.
func TestRepeatsAreCountedByWindows(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name              string
		requests, repeats int
		over              time.Duration // over is the period over which the repeats are spread.
		broken            bool
	}{
		{"few requests, the slack", 10, 66, time.Second, false},
		{"few requests, more than the slack", 10, 67, time.Second, true},
		{"many requests", 1000, 264, time.Second, false},
		{"many requests, more than a fifth plus the slack", 1000, 265, time.Second, true},
		{"two windows", 10, 130, 20 * time.Second, false},
	} {
		l := ledger.New()
		var arrivals []ledger.Arrival
		for i := range c.requests {
			id := fmt.Sprint(i)
			l.AddAttempt(ledger.Attempt{ID: id, Sent: start, Services: []string{"s1"}})
			arrivals = append(arrivals, ledger.Arrival{ID: id, Service: "s1", At: start})
		}
		for i := range c.repeats {
			at := start.Add(time.Duration(i) * c.over / time.Duration(c.repeats))
			arrivals = append(arrivals, ledger.Arrival{ID: "0", Service: "s1", At: at})
		}
		found := slices.ContainsFunc(l.Check(nil, arrivals), func(b ledger.Violation) bool { return b.Promise == ledger.Repeats })
		if found != c.broken {
			t.Errorf("%s: found %v, want %v", c.name, found, c.broken)
		}
	}
}

// Guards against a check that tries only windows that begin with a repeat. A window that begins elsewhere may have the largest excess.
func TestExcessIsThatOfTheWorstWindow(t *testing.T) {
	at := func(second float64, n int) []time.Time {
		return slices.Repeat([]time.Time{time.Unix(1000, int64(second*float64(time.Second)))}, n)
	}
	requests, repeats := slices.Concat(at(0.5, 100), at(9, 100)), at(10, 50)
	if got := ledger.Excess(requests, repeats, 0.2, 10*time.Second); got != 30 {
		t.Errorf("%v repeats beyond the ratio, want 30: the window from 4 counts 100 requests", got)
	}
	if got := ledger.Excess(requests, at(10, 20), 0.2, 10*time.Second); got != 0 {
		t.Errorf("%v repeats beyond the ratio, want 0", got)
	}
}

// Guards against a check of what targets announce that misses a request, and against one that reports an excused one.
func TestAnnouncementsAreChecked(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, int64(s*float64(time.Second))) }
	for _, c := range []struct {
		name     string
		announce ledger.Announcement
		sent     []float64 // sent are the times of the requests through entry e0 that reach the target.
		other    bool      // other is set when they come through another entry.
		stopped  bool      // stopped is set when e0 was restarted meanwhile.
		want     ledger.Promise
	}{
		{"leaving, late", ledger.Announcement{Leaving: true}, []float64{14}, false, false, ledger.Leave},
		{"leaving, in time", ledger.Announcement{Leaving: true}, []float64{13}, false, false, ""},
		{"leaving, through another entry", ledger.Announcement{Leaving: true}, []float64{14}, true, false, ""},
		{"leaving, after a restart of the entry", ledger.Announcement{Leaving: true}, []float64{14}, false, true, ""},
		{"pause, three requests", ledger.Announcement{Pause: 3 * time.Second}, []float64{10.6, 11, 12.9}, false, false, ledger.Pause},
		{"pause, two requests", ledger.Announcement{Pause: 3 * time.Second}, []float64{10.4, 10.6, 12.9, 13.1}, false, false, ""},
		{"pause, through another entry", ledger.Announcement{Pause: 3 * time.Second}, []float64{11, 11, 11}, true, false, ""},
		{"pause, a restart of the entry", ledger.Announcement{Pause: 3 * time.Second}, []float64{11, 11, 11}, false, true, ""},
		{"no announcement", ledger.Announcement{}, []float64{11, 11, 11}, false, false, ""},
	} {
		l := ledger.New()
		l.AddAttempt(ledger.Attempt{ID: "first", Entry: "e0", Sent: at(9.9), Done: at(10), Status: 503})
		c.announce.ID, c.announce.Target, c.announce.At = "first", "t", at(10)
		l.AddAnnouncement(c.announce)
		entry := "e0"
		if c.other {
			entry = "e1"
		}
		if c.stopped {
			l.AddInterruption("e0", at(10.5), at(10.6))
		}
		var arrivals []ledger.Arrival
		for i, s := range c.sent {
			id := fmt.Sprint(i)
			l.AddAttempt(ledger.Attempt{ID: id, Entry: entry, Sent: at(s), Done: at(s + 1), Status: 200, Success: true, Complete: true})
			arrivals = append(arrivals, ledger.Arrival{ID: id, Target: "t", At: at(s)})
		}
		var found ledger.Promise
		for _, b := range l.Check(nil, arrivals) {
			if b.Promise == ledger.Leave || b.Promise == ledger.Pause {
				found = b.Promise
			}
		}
		if found != c.want {
			t.Errorf("%s: %q, want %q", c.name, found, c.want)
		}
	}
}
