package loan

import (
	"slices"
	"strings"
	"time"

	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/link"
	"tamarackspool/internal/steer/table"
)

// smallest is the part of a share below which a loan is not worth its messages.
const smallest = 0.05

// Need says that a peer is short of its share of a link.
type Need struct {
	Entry string
	Link  string // Link is the name as Name gives it.
}

// Book holds the loans that an entry has given. The tick loop alone uses it, in
// the order Given, Step of the core, Told, Decide: a loan lowers the lender's
// rate in one tick before the borrower hears of it. A loan's rate never changes
// and its end only moves on, because the borrower may hold any earlier answer.
type Book struct {
	self    string
	region  string
	loans   []table.Loan
	counted []table.Loan // counted holds the loans as the last Given returned them.
}

// New returns the empty book of an entry.
func New(self, region string) *Book { return &Book{self: self, region: region} }

// Name returns the name of the link between two regions.
func Name(a, b string) string { return min(a, b) + "|" + max(a, b) }

// Regions returns the regions that the named link joins.
func Regions(name string) (a, b string, ok bool) { return strings.Cut(name, "|") }

// Given returns the loans that the lender's next tick has to count.
func (b *Book) Given(now time.Time) []table.Loan {
	b.loans = slices.DeleteFunc(b.loans, func(l table.Loan) bool { return !now.Before(l.Until.Add(link.Grace)) })
	b.counted = slices.Clone(b.loans)
	return slices.Clone(b.loans)
}

// Told returns the loans that borrowers may hear of.
func (b *Book) Told(now time.Time) []table.Loan {
	return slices.DeleteFunc(slices.Clone(b.counted), func(l table.Loan) bool { return !now.Before(l.Until) })
}

// Needs returns the links on which this entry is short.
func (b *Book) Needs(s decision.Status) []string {
	var out []string
	for _, l := range s.Links {
		if l.Short && !s.Closed {
			out = append(out, Name(b.region, l.Region))
		}
	}
	return out
}

// Decide renews loans that are still needed and gives new ones from what the
// last tick found to spare. A peer gets at most one loan on a link.
func (b *Book) Decide(now time.Time, s decision.Status, needs []Need) {
	for _, l := range s.Links {
		if l.Short || s.Closed {
			continue
		}
		b.lend(now, l, b.unserved(now, Name(b.region, l.Region), needs))
	}
}

// unserved renews the loans on the link to peers in need and returns those without one.
func (b *Book) unserved(now time.Time, name string, needs []Need) []string {
	var out []string
	for _, n := range needs {
		if n.Link != name || n.Entry == b.self || slices.Contains(out, n.Entry) {
			continue
		}
		i := slices.IndexFunc(b.loans, func(l table.Loan) bool {
			return l.To == n.Entry && Name(l.A, l.B) == name && now.Before(l.Until)
		})
		if i < 0 {
			out = append(out, n.Entry)
			continue
		}
		b.loans[i].Until = now.Add(link.Longest)
	}
	slices.Sort(out)
	return out
}

// lend divides what may be lent on the link equally over the peers.
func (b *Book) lend(now time.Time, l decision.LinkStatus, peers []string) {
	if len(peers) == 0 {
		return
	}
	free := int64(link.Most * float64(l.Share))
	for _, o := range b.loans {
		if Name(o.A, o.B) == Name(b.region, l.Region) {
			free -= o.Rate
		}
	}
	rate := min(free, l.Spare) / int64(len(peers))
	if float64(rate) < smallest*float64(l.Share) || rate <= 0 {
		return
	}
	for _, p := range peers {
		b.loans = append(b.loans, table.Loan{From: b.self, To: p, A: b.region, B: l.Region, Rate: rate, Until: now.Add(link.Longest)})
	}
}
