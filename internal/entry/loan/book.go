package loan

import (
	"slices"
	"strings"
	"time"

	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/link"
	"tamarackspool/internal/steer/table"
)

// minLoanFraction is the fraction of a share below which a loan does not justify its messages.
const minLoanFraction = 0.05

// Need states that a peer needs more bandwidth on a link than its share.
type Need struct {
	Entry string
	Link  string // Link is the name of the link, as returned by LinkName.
}

// Book holds the loans that an entry has granted to its peers. Only the tick loop
// uses it, in the order GrantedLoans, Core.Step, AnnouncedLoans, UpdateLoans: a loan
// lowers the lender's rate in one tick before it is announced to the borrower. The
// rate of a loan never changes and its end only moves later, because the borrower may
// still use any earlier response.
type Book struct {
	self         string
	region       string
	loans        []table.Loan
	countedLoans []table.Loan // countedLoans holds the loans that the last call of GrantedLoans returned.
}

// New returns an empty book for the entry self in the given region.
func New(self, region string) *Book { return &Book{self: self, region: region} }

// LinkName returns the name of the link between two regions.
func LinkName(a, b string) string { return min(a, b) + "|" + max(a, b) }

// LinkRegions returns the regions that the named link joins.
func LinkRegions(name string) (a, b string, ok bool) { return strings.Cut(name, "|") }

// GrantedLoans returns the loans that the lender's next tick must subtract from its rate.
func (b *Book) GrantedLoans(now time.Time) []table.Loan {
	b.loans = slices.DeleteFunc(b.loans, func(l table.Loan) bool { return !now.Before(l.Until.Add(link.LoanMargin)) })
	b.countedLoans = slices.Clone(b.loans)
	return slices.Clone(b.loans)
}

// AnnouncedLoans returns the loans that may be announced to their borrowers.
func (b *Book) AnnouncedLoans(now time.Time) []table.Loan {
	return slices.DeleteFunc(slices.Clone(b.countedLoans), func(l table.Loan) bool { return !now.Before(l.Until) })
}

// NeededLinks returns the names of the links on which this entry needs a loan.
func (b *Book) NeededLinks(s decision.Status) []string {
	var out []string
	for _, l := range s.Links {
		if l.NeedsLoan && !s.Closed {
			out = append(out, LinkName(b.region, l.Region))
		}
	}
	return out
}

// UpdateLoans renews the loans that are still needed and grants new ones from the spare
// bandwidth that the last tick measured. A peer gets at most one loan on a link.
func (b *Book) UpdateLoans(now time.Time, s decision.Status, needs []Need) {
	for _, l := range s.Links {
		if l.NeedsLoan || s.Closed {
			continue
		}
		b.lend(now, l, b.renewAndListUnserved(now, LinkName(b.region, l.Region), needs))
	}
}

// renewAndListUnserved renews the loans on the link to peers that need one and returns the peers in need without a loan.
func (b *Book) renewAndListUnserved(now time.Time, name string, needs []Need) []string {
	var out []string
	for _, n := range needs {
		if n.Link != name || n.Entry == b.self || slices.Contains(out, n.Entry) {
			continue
		}
		i := slices.IndexFunc(b.loans, func(l table.Loan) bool {
			return l.To == n.Entry && LinkName(l.A, l.B) == name && now.Before(l.Until)
		})
		if i < 0 {
			out = append(out, n.Entry)
			continue
		}
		b.loans[i].Until = now.Add(link.MaxLoanDuration)
	}
	slices.Sort(out)
	return out
}

// lend divides the bandwidth that may be lent on the link equally among the peers.
func (b *Book) lend(now time.Time, l decision.LinkStatus, peers []string) {
	if len(peers) == 0 {
		return
	}
	free := int64(link.MaxLentFraction * float64(l.Share))
	for _, o := range b.loans {
		if LinkName(o.A, o.B) == LinkName(b.region, l.Region) {
			free -= o.Rate
		}
	}
	rate := min(free, l.Lendable) / int64(len(peers))
	if float64(rate) < minLoanFraction*float64(l.Share) || rate <= 0 {
		return
	}
	for _, p := range peers {
		b.loans = append(b.loans, table.Loan{From: b.self, To: p, A: b.region, B: l.Region, Rate: rate, Until: now.Add(link.MaxLoanDuration)})
	}
}
