// Package ledger compares the responses that callers received with the requests
// that targets ran, and finds the promises that were broken.
package ledger
