package book

import (
	"slices"
	"time"
)

// Kind is how often a request under a rule may run.
type Kind uint8

// The kinds; the zero value is the most restrictive.
const (
	Unsafe   Kind = iota // Unsafe requests run at most once.
	Upload               // Upload requests run at most once and have large bodies.
	Safe                 // Safe requests may run more than once.
	Download             // Download requests may run more than once and have large answers.
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Safe || k == Download }

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Upload:
		return "upload"
	case Download:
		return "download"
	default:
		return "unsafe"
	}
}

// TrafficShare is one service's share in the traffic split of a rule.
type TrafficShare struct {
	Service string
	Weight  float64 // Weight is relative to the sum of the weights in the rule's traffic split.
}

// RuleFields are the settings of a rule.
type RuleFields struct {
	Name             string
	Host             string
	Prefix           string // Prefix begins and ends with a slash.
	Kind             Kind
	Timeout          time.Duration // Timeout is the longest time until the caller gets an answer; 0 means no limit.
	LatencyObjective time.Duration // LatencyObjective is the latency to aim for; later answers are worth less.
	Priority         int           // Priority is the rank for load shedding; 0 is served first.
	TrafficSplit     []TrafficShare
	MaxAttempts      int      // MaxAttempts is the largest number of targets that one request may be sent to.
	Sticky           bool     // Sticky is set when a target is faster with an object that it has handled before.
	HomeRegions      []string // HomeRegions are the only regions that may run the requests; empty means all.
	Public           bool     // Public is set when the requests need no key although the configuration has accounts.
}

// Rule is the routing rule for the requests of one host and path prefix; it is immutable.
type Rule struct {
	fields      RuleFields
	totalWeight float64
}

// NewRule returns the rule with the given settings.
func NewRule(f RuleFields) *Rule {
	f.TrafficSplit, f.HomeRegions = slices.Clone(f.TrafficSplit), slices.Clone(f.HomeRegions)
	r := &Rule{fields: f}
	for _, p := range f.TrafficSplit {
		r.totalWeight += p.Weight
	}
	return r
}

// Name returns the rule's name.
func (r *Rule) Name() string { return r.fields.Name }

// Host returns the host that the rule applies to.
func (r *Rule) Host() string { return r.fields.Host }

// Prefix returns the prefix of the paths that the rule applies to.
func (r *Rule) Prefix() string { return r.fields.Prefix }

// Kind returns how often a request may run.
func (r *Rule) Kind() Kind { return r.fields.Kind }

// Timeout returns the longest time until the caller gets an answer; 0 means no limit.
func (r *Rule) Timeout() time.Duration { return r.fields.Timeout }

// LatencyObjective returns the latency to aim for; later answers are worth less.
func (r *Rule) LatencyObjective() time.Duration { return r.fields.LatencyObjective }

// Priority returns the rank for load shedding; 0 is served first.
func (r *Rule) Priority() int { return r.fields.Priority }

// TrafficSplit returns the services that share the rule's requests, with their weights.
func (r *Rule) TrafficSplit() []TrafficShare { return slices.Clone(r.fields.TrafficSplit) }

// MaxAttempts returns the largest number of targets that one request may be sent to.
func (r *Rule) MaxAttempts() int { return r.fields.MaxAttempts }

// Sticky reports whether a target is faster with an object that it has handled before.
func (r *Rule) Sticky() bool { return r.fields.Sticky }

// HomeRegions returns the only regions that may run the requests; empty means all.
func (r *Rule) HomeRegions() []string { return r.fields.HomeRegions }

// Public reports whether the requests need no key although the configuration has accounts.
func (r *Rule) Public() bool { return r.fields.Public }

// Service returns the service for a number in [0, 1): uniformly distributed numbers are split by the weights.
func (r *Rule) Service(draw float64) string {
	position := draw * r.totalWeight
	for _, p := range r.fields.TrafficSplit {
		if position < p.Weight {
			return p.Service
		}
		position -= p.Weight
	}
	return r.fields.TrafficSplit[len(r.fields.TrafficSplit)-1].Service
}
