// Package order records the outcome of each request with an idempotency key, so
// that the request is executed at most once and a repeat receives the first response.
package order
