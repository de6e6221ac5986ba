package gossip

import "time"

const (
	needTTL  = 6 * time.Second // needs received longer ago are ignored
	maxNeeds = 16              // needed links accepted from one message
)

// Loan is a part of the rate limit of a link between two regions that one entry lends to another until a time of the local clock.
type Loan struct {
	Lender    string
	Borrower  string
	Link      string // Link is the name of the link.
	Rate      int64  // Rate is in bytes per second.
	ExpiresAt time.Time
}

// Need states that an entry requests a loan for a link.
type Need struct {
	Entry string
	Link  string
}

// peerNeeds is the last list of links for which a peer requested a loan.
type peerNeeds struct {
	links      []string
	receivedAt time.Time
}

// SetLoans replaces the loans that the local entry grants; each one is sent to its borrower only.
func (s *Service) SetLoans(loans []Loan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lentLoans = append([]Loan(nil), loans...)
}

// Loans returns the unexpired loans that peers have granted to the local entry.
func (s *Service) Loans() []Loan {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	var out []Loan
	for _, all := range s.loansByLender {
		for _, l := range all {
			if l.ExpiresAt.After(now) {
				out = append(out, l)
			}
		}
	}
	return out
}

// SetNeeds replaces the links for which the local entry requests loans.
func (s *Service) SetNeeds(links []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.neededLinks = append([]string(nil), links...)
}

// Needs returns the links for which peers have requested loans within the last 6 s.
func (s *Service) Needs() []Need {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Now()
	var out []Need
	for entry, needs := range s.peerNeeds {
		for _, link := range needs.links {
			if now.Sub(needs.receivedAt) <= needTTL {
				out = append(out, Need{entry, link})
			}
		}
	}
	return out
}

// loansFor returns the loans for the answer to a peer. Requests carry no loans, because a borrower that was paused could
// read one late and would count the remaining time from then on.
func (s *Service) loansFor(peer string) []loanMessage {
	now := s.deps.Now()
	var out []loanMessage
	for _, l := range s.lentLoans {
		if remaining := l.ExpiresAt.Sub(now); l.Borrower == peer && remaining > 0 {
			out = append(out, loanMessage{Link: l.Link, Rate: l.Rate, RemainingMS: remaining.Milliseconds()})
		}
	}
	return out
}

// borrowedLoans decodes the loans of an answer. Their remaining time counts from the time the request was sent, so that a
// loan does not end later here than at the lender.
func borrowedLoans(lender, borrower string, messages []loanMessage, sent time.Time) []Loan {
	var out []Loan
	for _, f := range messages {
		out = append(out, Loan{Lender: lender, Borrower: borrower, Link: f.Link, Rate: f.Rate, ExpiresAt: sent.Add(time.Duration(f.RemainingMS) * time.Millisecond)})
	}
	return out
}
