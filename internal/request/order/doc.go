// Package order keeps the outcome of each idempotency key, so that a key runs
// at most once and a repeat receives the first answer.
package order
