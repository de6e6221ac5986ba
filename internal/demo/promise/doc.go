// Package promise checks the guarantees of the system (its promises) from the
// outside: it compares the results that callers received with the requests that
// targets recorded.
package promise
