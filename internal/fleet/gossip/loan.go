package gossip

import "time"

const (
	needAge  = 6 * time.Second // needs that are older than this count no more
	maxNeeds = 16              // links in one message
)

// Loan is a share of a link that one entry lends to another until a time of the local clock.
type Loan struct {
	From  string
	To    string
	Link  string
	Rate  int64 // Rate is in bytes per second.
	Until time.Time
}

// Need says that an entry is short of its share of a link.
type Need struct {
	Entry string
	Link  string
}

// peerNeeds is what a peer said that it needs.
type peerNeeds struct {
	links []string
	at    time.Time
}

// SetLoans replaces the shares that this entry lends; each goes to its borrower only.
func (s *Service) SetLoans(loans []Loan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lent = append([]Loan(nil), loans...)
}

// Loans returns the shares that peers lend to this entry and that have not expired.
func (s *Service) Loans() []Loan {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	var out []Loan
	for _, all := range s.loans {
		for _, l := range all {
			if l.Until.After(now) {
				out = append(out, l)
			}
		}
	}
	return out
}

// SetNeeds replaces the links on which this entry asks peers for a loan.
func (s *Service) SetNeeds(links []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.needs = append([]string(nil), links...)
}

// Needs returns the links on which peers have asked for a loan lately.
func (s *Service) Needs() []Need {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	var out []Need
	for entry, w := range s.asked {
		for _, link := range w.links {
			if now.Sub(w.at) <= needAge {
				out = append(out, Need{entry, link})
			}
		}
	}
	return out
}

// loansFor returns the loans for the answer to a peer. A call carries none: a borrower that was
// paused could read one late and would count its remaining time from then.
func (s *Service) loansFor(peer string) []loanForm {
	now := s.deps.Now()
	var out []loanForm
	for _, l := range s.lent {
		if left := l.Until.Sub(now); l.To == peer && left > 0 {
			out = append(out, loanForm{Link: l.Link, Rate: l.Rate, Left: left.Milliseconds()})
		}
	}
	return out
}

// takeLoans starts a loan's remaining time when its message was asked for, so that it ends no later than the lender counts.
func takeLoans(from, to string, forms []loanForm, sent time.Time) []Loan {
	var out []Loan
	for _, f := range forms {
		out = append(out, Loan{From: from, To: to, Link: f.Link, Rate: f.Rate, Until: sent.Add(time.Duration(f.Left) * time.Millisecond)})
	}
	return out
}
