package hedge

import "time"

// Reason says why a copy was withheld.
type Reason string

// The reasons, in the order in which they are examined.
const (
	Sent      Reason = ""          // Sent is the reason of no copy: it may be sent.
	Unsent    Reason = "unsent"    // Unsent means that the first attempt itself has not been sent.
	Stalled   Reason = "stalled"   // Stalled means that the process was paused, so that its clock proves nothing.
	Attempts  Reason = "attempts"  // Attempts means that the rule allows no further attempt.
	Short     Reason = "short"     // Short means that the service is short of capacity.
	Share     Reason = "share"     // Share means that the copies have reached their part of the requests.
	Retries   Reason = "retries"   // Retries means that the rest of the retry budget is kept for retries.
	NoTarget  Reason = "target"    // NoTarget means that no other target may get the copy, or none has a free slot.
	Objective Reason = "objective" // Objective means that the copy is not expected to be answered within the objective.
	Recheck   Reason = "recheck"   // Recheck means that a check just before the first byte failed.
)

// Reasons lists all reasons for which a copy is withheld.
var Reasons = []Reason{Unsent, Stalled, Attempts, Short, Share, Retries, NoTarget, Objective, Recheck}

const (
	// reservedRetries is the number of retries that copies leave in the budget, for requests that fail.
	reservedRetries = 2
	// coldFactor is how many times longer work takes at a target that has not handled the object recently.
	coldFactor = 3
)

// Candidate is the target for the copy.
type Candidate struct {
	Load, Slots int
	Warm        bool // Warm is set when the target has handled the object recently.
}

// Situation is what a decision depends on beyond the state of the service.
type Situation struct {
	FirstSent        bool
	Stalled          bool
	Short            bool // Short is set when admission control finds the service short of capacity.
	MaxAttempts      int
	AvailableRetries int
	Usual            time.Duration // Usual is the usual latency of the rule.
	Left             time.Duration // Left is what is left of the latency objective.
	Candidate        Candidate     // Candidate has no slots if there is none.
}

// Decide returns why no copy may be sent now, or Sent.
func (s *Service) Decide(x Situation, now time.Time) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := x.Usual
	if !x.Candidate.Warm {
		usual *= coldFactor
	}
	switch {
	case !x.FirstSent:
		return Unsent
	case x.Stalled:
		return Stalled
	case x.MaxAttempts < 2:
		return Attempts
	case x.Short || now.Before(s.shortUntil):
		return Short
	case s.tokens < tokenUnits:
		return Share
	case x.AvailableRetries <= reservedRetries:
		return Retries
	case x.Candidate.Load >= x.Candidate.Slots:
		return NoTarget
	case usual > x.Left:
		return Objective
	}
	return Sent
}
