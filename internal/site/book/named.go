package book

import (
	"maps"
	"slices"
)

// AccountNamed returns the account with the name, or nil when the configuration has none.
func (b *Book) AccountNamed(name string) *Account { return b.accounts[name] }

// AccountNames returns the names of the accounts, in order.
func (b *Book) AccountNames() []string { return slices.Sorted(maps.Keys(b.accounts)) }
