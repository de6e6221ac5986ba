package book

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ServiceFields are the settings of a service.
type ServiceFields struct {
	Name         string
	HealthPath   string
	MaxConns     int           // MaxConns is the largest number of connections that one target accepts from all entries together.
	ColdDuration time.Duration // ColdDuration is how long a target is slow after its start.
	ColdRate     float64       // ColdRate is how many requests per second a cold target accepts.
}

// Limits bound the size of callers' requests and the time to send them.
type Limits struct {
	MaxHeaderBytes int           // MaxHeaderBytes is the largest request header in bytes.
	MaxBodyBytes   int64         // MaxBodyBytes is the largest request body in bytes.
	HeaderTimeout  time.Duration // HeaderTimeout is the longest time for a request header.
	IdleTimeout    time.Duration // IdleTimeout is how long an unused connection is kept.
}

// Book is one version of the configuration; it is immutable and safe for concurrent use.
type Book struct {
	version     uint64
	rules       []*Rule
	rulesByHost map[string][]*Rule // rulesByHost holds the rules of each host, the longest prefix first.
	services    map[string]ServiceFields
	limits      Limits

	accounts      map[string]*Account // accounts is keyed by name.
	accountsByKey map[keyDigest]*Account
}

// New returns the book of a version, or an error that names the invalid rule or
// account or says that a limit is invalid.
func New(version uint64, rules []*Rule, services []ServiceFields, limits Limits, accounts ...*Account) (*Book, error) {
	b := &Book{
		version: version, rules: slices.Clone(rules), limits: limits,
		rulesByHost: make(map[string][]*Rule), services: make(map[string]ServiceFields),
		accounts: make(map[string]*Account), accountsByKey: make(map[keyDigest]*Account),
	}
	for _, s := range services {
		b.services[s.Name] = s
	}
	for _, r := range rules {
		if err := b.validateRule(r); err != nil {
			return nil, err
		}
		b.rulesByHost[r.Host()] = append(b.rulesByHost[r.Host()], r)
	}
	for _, l := range b.rulesByHost {
		slices.SortStableFunc(l, func(x, y *Rule) int { return cmp.Compare(len(y.Prefix()), len(x.Prefix())) })
	}
	for _, a := range accounts {
		if err := b.addAccount(a); err != nil {
			return nil, err
		}
	}
	if limits.MaxHeaderBytes <= 0 || limits.MaxBodyBytes < 0 || limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 {
		return nil, fmt.Errorf("book: version %d: a limit is missing or not above 0", version)
	}
	return b, nil
}

func (b *Book) validateRule(r *Rule) error {
	invalid := func(what string) error { return fmt.Errorf("book: version %d: rule %s: %s", b.version, r.Name(), what) }
	switch {
	case r.Host() == "":
		return invalid("the host is empty")
	case !strings.HasPrefix(r.Prefix(), "/") || !strings.HasSuffix(r.Prefix(), "/"):
		return invalid("the prefix must begin and end with a slash")
	case r.MaxAttempts() < 1:
		return invalid("attempts are below 1")
	case r.Timeout() < 0 || r.LatencyObjective() < 0:
		return invalid("a time is below 0")
	case len(r.fields.TrafficSplit) == 0 || r.totalWeight <= 0:
		return invalid("no service has a weight above 0")
	}
	for _, p := range r.fields.TrafficSplit {
		if _, ok := b.services[p.Service]; !ok || p.Weight < 0 {
			return invalid("service " + p.Service + " is unknown or has a weight below 0")
		}
	}
	return nil
}

// Version returns the version number of the configuration.
func (b *Book) Version() uint64 { return b.version }

// Limits returns the limits for callers' requests.
func (b *Book) Limits() Limits { return b.limits }

// RuleCount returns the number of rules.
func (b *Book) RuleCount() int { return len(b.rules) }

// Service returns the settings of a service and whether the configuration contains it.
func (b *Book) Service(name string) (ServiceFields, bool) {
	s, ok := b.services[name]
	return s, ok
}

// Find returns the host's rule with the longest prefix that matches the path, and whether there is one.
func (b *Book) Find(host, path string) (*Rule, bool) {
	for _, r := range b.rulesByHost[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return nil, false
}
