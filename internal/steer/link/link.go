package link

import (
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// Safety is the part of a share that is used, so that a bucket's burst stays
// within the share in every second.
const Safety = 0.95

// Terms of loans.
const (
	fall     = 0.14 // part of the use forgotten per second
	lendable = 0.5  // part of the unused rate that may be lent
	near     = 0.9  // part of the rate above which an entry asks for a loan
)

// Grace is how much earlier the borrower stops than the lender resumes.
const Grace = time.Second

// Update sets this entry's rate on each link from its fixed share and the loans in force.
func Update(now time.Time, t *table.Tables) {
	for i := range t.Links {
		t.Links[i].Rate = t.Links[i].Share
	}
	for _, l := range t.Input.Loans {
		apply(now, t, l)
	}
	for i := range t.Links {
		r := &t.Links[i]
		r.Rate = int64(Safety * float64(max(0, r.Rate)))
		if t.Closed || t.Idle {
			r.Rate = 0
		}
		measure(t, r)
	}
}

// measure says how much of the rate may be lent and whether a loan would help.
func measure(t *table.Tables, r *table.Link) {
	seconds := t.Elapsed.Seconds()
	if seconds <= 0 {
		return
	}
	// The use falls by half in about five seconds, longer than a burst lasts.
	r.Used = max(float64(r.Bytes)/seconds, r.Used*(1-min(1, seconds*fall)))
	r.Spare = max(0, int64(lendable*(float64(min(r.Rate, r.Share))-2*r.Used)))
	r.Short = r.Used > near*float64(r.Rate)
}

func apply(now time.Time, t *table.Tables, l table.Loan) {
	if l.From != t.Self && l.To != t.Self {
		return
	}
	r := row(t, l)
	if r == nil || l.Rate <= 0 || l.Rate > r.Share || l.From == l.To {
		t.Emit(event.LoanRefused, "from", l.From, "to", l.To, "rate", l.Rate)
		return
	}
	switch {
	case l.From == t.Self && now.Before(l.Until.Add(Grace)):
		r.Rate -= l.Rate
	case l.To == t.Self && now.Before(l.Until.Add(-Grace)):
		r.Rate += l.Rate
	}
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
