package node

import (
	"time"

	"tamarackspool/internal/entry/loan"
	"tamarackspool/internal/fleet/gossip"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// loans returns the loans that the tick applies to link rates: those granted and those received.
func (n *Node) loans(now time.Time) []table.Loan {
	all := n.loanBook.GrantedLoans(now)
	for _, l := range n.gossip.Loans() {
		if a, b, ok := loan.LinkRegions(l.Link); ok {
			all = append(all, table.Loan{From: l.Lender, To: l.Borrower, A: a, B: b, Rate: l.Rate, Until: l.ExpiresAt})
		}
	}
	return all
}

// updateLoans announces the loans that the tick has applied to their borrowers, decides on the
// next loans and requests loans on the links where this entry needs a higher rate.
func (n *Node) updateLoans(now time.Time, s decision.Status) {
	var announced []gossip.Loan
	for _, l := range n.loanBook.AnnouncedLoans(now) {
		announced = append(announced, gossip.Loan{Lender: l.From, Borrower: l.To, Link: loan.LinkName(l.A, l.B), Rate: l.Rate, ExpiresAt: l.Until})
	}
	n.gossip.SetLoans(announced)
	var needs []loan.Need
	for _, d := range n.gossip.Needs() {
		needs = append(needs, loan.Need{Entry: d.Entry, Link: d.Link})
	}
	n.loanBook.UpdateLoans(now, s, needs)
	n.gossip.SetNeeds(n.loanBook.NeededLinks(s))
}
