package link

import (
	"slices"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// SafetyFactor is the fraction of a share that is used, so that a rate limiter's burst
// stays within the share in every second.
const SafetyFactor = 0.95

// Parameters of loans.
const (
	useDecay         = 0.14 // fraction by which the measured use decays per second
	lendableFraction = 0.5  // fraction of the unused rate that may be lent
	borrowThreshold  = 0.9  // fraction of the rate above which an entry requests a loan
)

// LoanMargin is the margin on both sides of the end of a loan: the borrower stops this much earlier and the lender resumes this much later.
const LoanMargin = time.Second

// Limits that the lender and its replacement rely on. The replacement of a
// killed lender knows none of its loans. An entry therefore lends at most MaxLentFraction of
// a share, and after a start uses only the rest until every earlier loan has ended.
const (
	MaxLoanDuration = 15 * time.Second // longest duration of a loan from its decision or renewal
	MaxLentFraction = 0.5              // largest fraction of a share that is lent at any time
)

// Update sets this entry's rate on each link from its fixed share and the loans in force.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Links {
		t.Links[i].Rate = t.Links[i].Share
		if now.Sub(t.StartedAt) < MaxLoanDuration+LoanMargin {
			t.Links[i].Rate -= int64(MaxLentFraction * float64(t.Links[i].Share))
		}
	}
	for _, l := range t.Input.Loans {
		apply(now, t, l)
	}
	for i := range t.Links {
		r := &t.Links[i]
		r.Rate = int64(SafetyFactor * float64(max(0, r.Rate)))
		if t.Closed || t.SharesSuspended {
			r.Rate = 0
		}
		updateUse(now, t, r)
	}
}

// updateUse computes how much of the rate may be lent and whether the entry would use a loan.
func updateUse(now time.Time, t *table.Tables, r *table.Link) {
	seconds := t.Elapsed.Seconds()
	if seconds <= 0 {
		return
	}
	// The use decays by half in about five seconds, which is longer than a burst.
	r.Used = max(float64(r.Bytes)/seconds, r.Used*(1-min(1, seconds*useDecay)))
	r.Lendable = max(0, int64(lendableFraction*(float64(min(r.Rate, r.Share))-2*r.Used)))
	if now.Sub(t.StartedAt) < MaxLoanDuration+LoanMargin {
		// The next replacement would know neither these loans nor those of the process before this one.
		r.Lendable = 0
	}
	// The use is compared with the own share without loans, so that a loan is renewed as long as it is used.
	r.NeedsLoan = r.Used > borrowThreshold*float64(min(r.Rate, int64(SafetyFactor*float64(r.Share))))
}

func apply(now time.Time, t *table.Tables, l table.Loan) {
	if l.From != t.Self && l.To != t.Self {
		return
	}
	r := row(t, l)
	if r == nil || l.Rate <= 0 || l.Rate > r.Share || l.From == l.To || !configured(t, l.From) {
		t.Emit(event.LoanRefused, "from", l.From, "to", l.To, "rate", l.Rate)
		if r == nil || l.Rate <= 0 || l.From != t.Self {
			return
		}
		// A borrower with another version of the configuration may still use the loan, so the lender must subtract it.
	}
	switch {
	case l.From == t.Self && now.Before(l.Until.Add(LoanMargin)):
		r.Rate -= l.Rate
	case l.To == t.Self && now.Before(l.Until.Add(-LoanMargin)):
		r.Rate += l.Rate
	}
}

// configured reports whether the entry is in the configuration and so has a share.
func configured(t *table.Tables, name string) bool {
	return slices.ContainsFunc(t.Entries, func(e table.Entry) bool { return e.Spec.Name() == name })
}

func row(t *table.Tables, l table.Loan) *table.Link {
	for i := range t.Links {
		r := t.Links[i].Region
		if (l.A == t.Region && l.B == r) || (l.B == t.Region && l.A == r) {
			return &t.Links[i]
		}
	}
	return nil
}
