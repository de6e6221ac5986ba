package book

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// AccountFields are the settings of a client account.
type AccountFields struct {
	Name        string
	Keys        []string // Keys select the account; an empty list means that all its keys were revoked, nil that it is missing.
	Priority    *int     // Priority takes precedence over the rule's; nil means that the account has none.
	Rate        float64  // Rate is the quota in requests per second; 0 means no limit.
	Burst       float64  // Burst is the number of requests that the quota allows beyond its rate.
	HomeRegions []string // HomeRegions are the only regions that may run the requests; empty means all.
}

// maxQuota bounds a rate and a burst; a larger one is taken for a mistake.
const maxQuota = 1e9

// maxNameBytes bounds the name of an account, which every request of it carries to its target.
const maxNameBytes = 256

// keyDigest is the SHA-256 digest of a key.
type keyDigest [sha256.Size]byte

// Account is a client account; it is immutable and holds digests of its keys only.
type Account struct {
	fields  AccountFields // fields has no keys.
	digests []keyDigest
	hasKeys bool // hasKeys is set when the list of keys is present, even if it is empty.
}

// NewAccount returns the account with the given settings.
func NewAccount(f AccountFields) *Account {
	a := &Account{hasKeys: f.Keys != nil}
	for _, key := range f.Keys {
		// An empty key selects no account, because a caller without a key is unknown.
		if key != "" {
			a.digests = append(a.digests, sha256.Sum256([]byte(key)))
		}
	}
	if f.Priority != nil {
		priority := *f.Priority
		f.Priority = &priority
	}
	f.Keys, f.HomeRegions = nil, slices.Clone(f.HomeRegions)
	a.fields = f
	return a
}

// Name returns the account's name.
func (a *Account) Name() string { return a.fields.Name }

// Priority returns the rank for load shedding and whether the account has one.
func (a *Account) Priority() (int, bool) {
	if a.fields.Priority == nil {
		return 0, false
	}
	return *a.fields.Priority, true
}

// Rate returns the quota in requests per second; 0 means no limit.
func (a *Account) Rate() float64 { return a.fields.Rate }

// Burst returns the number of requests that the quota allows beyond its rate.
func (a *Account) Burst() float64 { return a.fields.Burst }

// HomeRegions returns the only regions that may run the requests; empty means all.
func (a *Account) HomeRegions() []string { return a.fields.HomeRegions }

// HasAccounts reports whether the configuration has client accounts, so that rules which are not public need a key.
func (b *Book) HasAccounts() bool { return len(b.accounts) > 0 }

// Account returns the account that the key selects, or nil when the key is unknown. The look-up compares digests, whose
// timing tells nothing about the keys.
func (b *Book) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return b.accountsByKey[sha256.Sum256([]byte(key))]
}

// addAccount adds an account, or returns an error that names it and never a key.
func (b *Book) addAccount(a *Account) error {
	invalid := func(what string) error {
		return fmt.Errorf("book: version %d: account %.64q: %s", b.version, a.Name(), what)
	}
	switch {
	case strings.TrimSpace(a.Name()) == "":
		return invalid("the name is empty")
	case len(a.Name()) > maxNameBytes || strings.TrimSpace(a.Name()) != a.Name() || strings.ContainsFunc(a.Name(), func(r rune) bool { return r < ' ' || r == 0x7f }):
		return invalid("the name cannot be sent in a header")
	case b.accounts[a.Name()] != nil:
		return invalid("the name is taken by another account")
	case !a.hasKeys:
		return invalid("the list of keys is missing")
	case !isQuota(a.Rate()) || !isQuota(a.Burst()):
		return invalid("the rate or the burst is below 0 or above 1e9")
	}
	b.accounts[a.Name()] = a
	for _, d := range a.digests {
		if other := b.accountsByKey[d]; other != nil && other != a {
			return invalid(fmt.Sprintf("it has a key of account %.64q", other.Name()))
		}
		b.accountsByKey[d] = a
	}
	return nil
}

// isQuota reports whether a rate or burst is in range; NaN is not.
func isQuota(x float64) bool { return x >= 0 && x <= maxQuota }
