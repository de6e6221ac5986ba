package edge

import (
	"tamarackspool/internal/site/book"
)

// priorityOf returns the rank of a request for load shedding: the account's, or the rule's if the account has none.
func priorityOf(rule *book.Rule, account *book.Account) int {
	if account != nil {
		if p, ok := account.Priority(); ok {
			return p
		}
	}
	return rule.Priority()
}
