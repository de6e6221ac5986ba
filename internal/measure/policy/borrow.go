package policy

import (
	"time"

	"tamarackspool/internal/entry/loan"
	"tamarackspool/internal/steer/table"
)

// needTTL is how long the needs that a peer reported are valid.
const needTTL = 6 * time.Second

// peerNeed lists the links on which a peer needs more bandwidth.
type peerNeed struct {
	links []string
	at    time.Duration
}

// currentLoans returns the loans granted and received, for the entry's next tick.
func (b *entryState) currentLoans(w *world) []table.Loan {
	all := b.loanBook.GrantedLoans(w.wallTime())
	for i := range w.entries {
		all = append(all, b.receivedLoans[w.entries[i].spec.Name()]...)
	}
	return all
}

// updateLoans decides which loans to grant from the last snapshot's status and the peers' needs.
func (b *entryState) updateLoans(w *world) {
	var needs []loan.Need
	for i := range w.entries {
		name := w.entries[i].spec.Name()
		if d := b.peerNeeds[name]; w.now-d.at <= needTTL {
			for _, l := range d.links {
				needs = append(needs, loan.Need{Entry: name, Link: l})
			}
		}
	}
	b.loanBook.UpdateLoans(w.wallTime(), b.snapshot.Status(), needs)
}

// exchangeLoans sends the needs of an entry to a peer and returns the peer's loans after a round trip.
func (o *productPolicy) exchangeLoans(w *world, from, to int, d time.Duration) {
	b, c := o.states[from], o.states[to]
	if b.snapshot == nil || c.snapshot == nil {
		return
	}
	own, lender := w.entries[from].spec.Name(), w.entries[to].spec.Name()
	sent, links := w.wallTime(), b.loanBook.NeededLinks(b.snapshot.Status())
	w.schedule(w.now+d, func() {
		if o.states[to] != c || !w.entries[to].up {
			return
		}
		c.peerNeeds[own] = peerNeed{links, w.now}
		var loans []table.Loan
		for _, l := range c.loanBook.AnnouncedLoans(w.wallTime()) {
			if l.To == own {
				l.Until = sent.Add(l.Until.Sub(w.wallTime()))
				loans = append(loans, l)
			}
		}
		w.schedule(w.now+d, func() {
			if o.states[from] == b && len(loans) > 0 {
				b.receivedLoans[lender] = loans
			}
		})
	})
}
