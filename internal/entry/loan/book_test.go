package loan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/entry/loan"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/link"
	"tamarackspool/internal/steer/table"
)

const (
	limit = 8_000_000 // bytes/s of the link
	step  = 100 * time.Millisecond
)

var start = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// entry runs the real core and book of one entry; messages between entries are simulated.
type entry struct {
	name          string
	region        string
	core          *core.Core
	book          *loan.Book
	bucket        *decision.Bucket
	needs         map[string][]string
	needsReceived map[string]time.Time
	received      map[string][]table.Loan
	pausedUntil   time.Time // pausedUntil is when the process resumes after a pause.
}

// message is a message in flight.
type message struct {
	deliverAt time.Time
	deliver   func()
}

// fleet simulates two regions with two entries each.
type fleet struct {
	now      time.Time
	doc      *document.Document
	members  []table.Member
	entries  []*entry
	inFlight []message
}

func newFleet() *fleet {
	f := document.Fields{Version: 1, Links: []document.Link{document.NewLink("ege", "marmara", limit)}}
	w := &fleet{now: start}
	for _, r := range []string{"ege", "marmara"} {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r}))
		f.Zones = append(f.Zones, document.NewZone(r+"-a", r))
		for i := range 2 {
			name := fmt.Sprintf("%s-a-%d", r, i)
			f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: name, Zone: r + "-a"}))
			w.members = append(w.members, table.Member{Name: name, State: table.Alive})
			w.entries = append(w.entries, &entry{name: name, region: r})
		}
	}
	w.doc = document.New(f)
	for i := range w.entries {
		w.restart(i)
	}
	return w
}

// restart replaces the entry's process by one without state.
func (w *fleet) restart(i int) {
	e := w.entries[i]
	*e = entry{
		name: e.name, region: e.region, book: loan.New(e.name, e.region),
		core:  core.New(core.Settings{Entry: e.name, Region: e.region, Zone: e.region + "-a"}),
		needs: map[string][]string{}, needsReceived: map[string]time.Time{}, received: map[string][]table.Loan{},
	}
}

// tick runs the entry's tick in the same order as internal/entry/node and sends the given number of bytes.
func (w *fleet) tick(e *entry, bytes int64) {
	in := &table.Input{Document: w.doc, Members: w.members, Confirmed: true, Loans: e.book.GrantedLoans(w.now)}
	for _, all := range e.received {
		in.Loans = append(in.Loans, all...)
	}
	s := e.core.Step(w.now, in)
	other := "marmara"
	if e.region == other {
		other = "ege"
	}
	e.bucket = s.Link(other)
	var needs []loan.Need
	for name, links := range e.needs {
		for _, l := range links {
			if w.now.Sub(e.needsReceived[name]) < 6*time.Second {
				needs = append(needs, loan.Need{Entry: name, Link: l})
			}
		}
	}
	e.book.UpdateLoans(w.now, s.Status(), needs)
	e.needs[e.name] = e.book.NeededLinks(s.Status())
	if bytes > 0 && e.bucket.Open(w.now) {
		e.bucket.ChargeSent(w.now, min(bytes, e.bucket.Rate()/10))
	}
}

// exchange sends the borrower's request and the lender's response with the given delays; if lost is set, the
// response is lost.
func (w *fleet) exchange(from, to *entry, requestDelay, responseDelay time.Duration, lost bool) {
	sent, needs := w.now, from.needs[from.name]
	borrowerBook, lenderBook := from.book, to.book
	w.schedule(requestDelay, func() {
		if to.book != lenderBook || w.now.Before(to.pausedUntil) {
			return
		}
		to.needs[from.name], to.needsReceived[from.name] = needs, w.now
		var loans []table.Loan
		for _, l := range to.book.AnnouncedLoans(w.now) {
			if l.To == from.name {
				// The response contains the remaining time, which counts from the time of the request.
				l.Until = sent.Add(l.Until.Sub(w.now))
				loans = append(loans, l)
			}
		}
		if !lost && len(loans) > 0 {
			w.schedule(responseDelay, func() {
				if from.book == borrowerBook {
					from.received[to.name] = loans
				}
			})
		}
	})
}

func (w *fleet) schedule(d time.Duration, deliver func()) {
	w.inFlight = append(w.inFlight, message{w.now.Add(d), deliver})
}

// deliver delivers the messages that are due, including responses that are due at once.
func (w *fleet) deliver() {
	for i := 0; i < len(w.inFlight); {
		m := w.inFlight[i]
		if m.deliverAt.After(w.now) {
			i++
			continue
		}
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
		m.deliver()
	}
}

// totalRate returns the current sum of the rates of all entries in bytes/s, including paused processes.
func (w *fleet) totalRate() (n int64) {
	for _, e := range w.entries {
		if e.bucket != nil {
			n += e.bucket.RateAt(w.now)
		}
	}
	return n
}

// Guards against a total rate above the link's limit when a message about a loan is lost or delayed, a
// lender is killed and restarted, or a borrower or lender is paused.
func TestLoansStayWithinTheLink(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleet()
		for range rapid.IntRange(200, 600).Draw(rt, "ticks") {
			w.now = w.now.Add(step)
			w.deliver()
			for i, e := range w.entries {
				if !w.now.Before(e.pausedUntil) {
					w.tick(e, map[bool]int64{true: limit}[i == 0])
				}
				if n := w.totalRate(); n > limit {
					rt.Fatalf("%d bytes/s over a limit of %d after %v", n, limit, w.now.Sub(start))
				}
			}
			one := rapid.IntRange(0, 3).Draw(rt, "one")
			switch rapid.IntRange(0, 60).Draw(rt, "event") {
			case 0:
				w.restart(one)
			case 1:
				w.entries[one].pausedUntil = w.now.Add(time.Duration(rapid.IntRange(100, 20_000).Draw(rt, "pause")) * time.Millisecond)
			default:
				ms := rapid.SampledFrom([]int{0, 20, 3000, 12_000})
				w.exchange(w.entries[0], w.entries[one], time.Duration(ms.Draw(rt, "there"))*time.Millisecond,
					time.Duration(ms.Draw(rt, "back"))*time.Millisecond, rapid.Bool().Draw(rt, "lost"))
			}
		}
	})
}

// Guards against a borrower that still uses an expired loan when its process resumes after a pause.
func TestPausedBorrowerLosesTheLoan(t *testing.T) {
	w := newFleet()
	for tick := range 700 {
		w.now = w.now.Add(step)
		w.deliver()
		for i, e := range w.entries {
			if i > 0 || tick < 300 {
				w.tick(e, map[bool]int64{true: limit}[i == 0])
			}
		}
		if tick < 300 {
			w.exchange(w.entries[0], w.entries[1+tick%3], 0, 0, false)
		}
		if n := w.totalRate(); n > limit {
			t.Fatalf("%d bytes/s over a limit of %d, %d ticks after the borrower was paused", n, limit, tick-300)
		}
	}
}

// Guards against a loan whose remaining time is counted from the arrival of a delayed response.
func TestDelayedResponseDoesNotExtendTheLoan(t *testing.T) {
	w := newFleet()
	for tick := range 700 {
		w.now = w.now.Add(step)
		w.deliver()
		for i, e := range w.entries {
			w.tick(e, map[bool]int64{true: limit}[i == 0])
		}
		if tick > 200 && tick < 300 {
			w.exchange(w.entries[0], w.entries[1+tick%3], 0, 20*time.Second, false)
		}
		if n := w.totalRate(); n > limit {
			t.Fatalf("%d bytes/s over a limit of %d in tick %d", n, limit, tick)
		}
	}
}

// Guards against needs for which no peer grants a loan, and against loans that last longer than the need.
func TestEntryInNeedBorrows(t *testing.T) {
	w := newFleet()
	share := int64(limit / 4)
	own := int64(link.SafetyFactor * float64(share))
	rate := func(d time.Duration, bytes int64) int64 {
		for range int(d / step) {
			w.now = w.now.Add(step)
			w.deliver()
			for i, e := range w.entries {
				w.tick(e, map[bool]int64{true: bytes}[i == 0])
				// Checked after each entry's tick, because a loan may reach the borrower before the lender's next tick.
				if n := w.totalRate(); n > limit {
					t.Fatalf("%d bytes/s over a limit of %d", n, limit)
				}
			}
			for _, lender := range w.entries[1:] {
				w.exchange(w.entries[0], lender, 0, 0, false)
			}
		}
		return w.entries[0].bucket.RateAt(w.now)
	}
	if n := rate(20*time.Second, 0); n != own {
		t.Fatalf("rate without a need = %d, want its own share %d", n, own)
	}
	if n := rate(20*time.Second, limit); n < 2*own {
		t.Errorf("rate of the entry in need while three others are idle = %d, want at least twice its own share %d", n, own)
	}
	if n := rate(60*time.Second, 0); n != own {
		t.Errorf("rate long after the need = %d, want its own share %d", n, own)
	}
}
