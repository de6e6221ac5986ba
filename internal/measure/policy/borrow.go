package policy

import (
	"time"

	"tamarackspool/internal/entry/loan"
	"tamarackspool/internal/steer/table"
)

// needAge is how long the needs of a peer count.
const needAge = 6 * time.Second

// need is what a peer asks for.
type need struct {
	links []string
	at    time.Duration
}

// loans returns the loans that the entry's next tick counts.
func (b *brain) loans(w *world) []table.Loan {
	all := b.book.GrantedLoans(w.clock())
	for i := range w.entries {
		all = append(all, b.received[w.entries[i].spec.Name()]...)
	}
	return all
}

// lend decides on loans from the last tick.
func (b *brain) lend(w *world) {
	var needs []loan.Need
	for i := range w.entries {
		name := w.entries[i].spec.Name()
		if d := b.needs[name]; w.now-d.at <= needAge {
			for _, l := range d.links {
				needs = append(needs, loan.Need{Entry: name, Link: l})
			}
		}
	}
	b.book.UpdateLoans(w.clock(), b.snapshot.Status(), needs)
}

// borrow carries the needs of an entry to a peer and the peer's loans back.
func (o *ours) borrow(w *world, from, to int, d time.Duration) {
	b, c := o.brains[from], o.brains[to]
	if b.snapshot == nil || c.snapshot == nil {
		return
	}
	own, lender := w.entries[from].spec.Name(), w.entries[to].spec.Name()
	sent, links := w.clock(), b.book.NeededLinks(b.snapshot.Status())
	w.plan(w.now+d, func() {
		if o.brains[to] != c || !w.entries[to].up {
			return
		}
		c.needs[own] = need{links, w.now}
		var loans []table.Loan
		for _, l := range c.book.AnnouncedLoans(w.clock()) {
			if l.To == own {
				l.Until = sent.Add(l.Until.Sub(w.clock()))
				loans = append(loans, l)
			}
		}
		w.plan(w.now+d, func() {
			if o.brains[from] == b && len(loans) > 0 {
				b.received[lender] = loans
			}
		})
	})
}
