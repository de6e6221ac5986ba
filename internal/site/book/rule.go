package book

import (
	"slices"
	"time"
)

// Kind says how often a request of a rule may run.
type Kind uint8

// The kinds; the zero value allows least.
const (
	Unsafe Kind = iota // Unsafe requests run at most once.
	Upload             // Upload requests run at most once and have large bodies.
	Safe               // Safe requests may run more than once.
)

// String returns the kind as it stands in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Upload:
		return "upload"
	default:
		return "unsafe"
	}
}

// Part is the share of a rule's requests that one service runs.
type Part struct {
	Service string
	Weight  float64 // Weight is relative to the sum over the rule's parts.
}

// RuleFields are the values of a rule.
type RuleFields struct {
	Name      string
	Host      string
	Prefix    string // Prefix begins and ends with a slash.
	Kind      Kind
	Timeout   time.Duration // Timeout is the longest that a caller is kept waiting; 0 means no limit.
	Objective time.Duration // Objective is the latency within which an answer is worth most.
	Priority  int           // Priority is the rank under overload; 0 goes first.
	Parts     []Part
	Attempts  int  // Attempts is the most targets that one request may be sent to.
	Sticky    bool // Sticky says that a target which has handled an object is faster with it.
	Homes     []string
}

// Rule says how the requests of one host and path prefix are handled.
type Rule struct {
	f     RuleFields
	total float64
}

// NewRule returns the rule with the given values.
func NewRule(f RuleFields) *Rule {
	f.Parts, f.Homes = slices.Clone(f.Parts), slices.Clone(f.Homes)
	r := &Rule{f: f}
	for _, p := range f.Parts {
		r.total += p.Weight
	}
	return r
}

// Name returns the rule's name.
func (r *Rule) Name() string { return r.f.Name }

// Host returns the host that the rule applies to.
func (r *Rule) Host() string { return r.f.Host }

// Prefix returns the beginning of the paths that the rule applies to.
func (r *Rule) Prefix() string { return r.f.Prefix }

// Kind returns how often a request may run.
func (r *Rule) Kind() Kind { return r.f.Kind }

// Timeout returns the longest that a caller is kept waiting; 0 means no limit.
func (r *Rule) Timeout() time.Duration { return r.f.Timeout }

// Objective returns the latency within which an answer is worth most.
func (r *Rule) Objective() time.Duration { return r.f.Objective }

// Priority returns the rank under overload; 0 goes first.
func (r *Rule) Priority() int { return r.f.Priority }

// Parts returns the services that share the rule's requests.
func (r *Rule) Parts() []Part { return slices.Clone(r.f.Parts) }

// Attempts returns the most targets that one request may be sent to.
func (r *Rule) Attempts() int { return r.f.Attempts }

// Sticky reports whether a target that has handled an object is faster with it.
func (r *Rule) Sticky() bool { return r.f.Sticky }

// Homes returns the only regions that may run the requests; empty means all.
func (r *Rule) Homes() []string { return r.f.Homes }

// Service returns the service for a draw from [0, 1): each part gets its share of the draws.
func (r *Rule) Service(draw float64) string {
	at := draw * r.total
	for _, p := range r.f.Parts {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.f.Parts[len(r.f.Parts)-1].Service
}
