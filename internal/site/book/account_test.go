package book_test

import (
	"math"
	"strings"
	"testing"

	"tamarackspool/internal/site/book"
)

// Guards against a configuration whose keys or quotas are ambiguous or absurd and that is accepted, and against an error
// that shows a key.
func TestInvalidAccountsAreNamedWithoutTheirKeys(t *testing.T) {
	const key = "secret"
	good := book.AccountFields{Name: "one", Keys: []string{key, key, ""}, Rate: 1e9}
	for want, f := range map[string]book.AccountFields{
		"key of account":  {Name: "two", Keys: []string{"x", key}},
		"is taken":        {Name: "one", Keys: []string{}},
		"name is empty":   {Name: " ", Keys: []string{"x"}},
		"in a header":     {Name: "two\r\nX: y", Keys: []string{"x"}},
		"list of keys":    {Name: "two"},
		"below 0":         {Name: "two", Keys: []string{}, Rate: -1},
		"above 1e9":       {Name: "two", Keys: []string{}, Burst: 1.1e9},
		"the rate or the": {Name: "two", Keys: []string{}, Rate: math.NaN()},
	} {
		_, err := book.New(1, nil, nil, limits, book.NewAccount(good), book.NewAccount(f))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), key) {
			t.Errorf("error %v, want one that has %q and no key", err, want)
		}
	}
}

// Guards against a key that selects no account or another one, and against an account without keys that a caller
// without a key gets.
func TestKeysSelectTheirAccount(t *testing.T) {
	one, none := book.NewAccount(book.AccountFields{Name: "one", Keys: []string{"a", "b", ""}}), book.NewAccount(book.AccountFields{Name: "none", Keys: []string{}})
	b, err := book.New(1, nil, nil, limits, one, none)
	if err != nil || !b.HasAccounts() {
		t.Fatal(err)
	}
	if b.Account("a") != one || b.Account("b") != one || b.Account("") != nil || b.Account("A") != nil {
		t.Error("a key selects the wrong account")
	}
	if _, ok := one.Priority(); ok {
		t.Error("the account has a priority that it was not given")
	}
}
