// Package ledger compares what callers were told with what targets ran and
// finds the promises that were broken.
package ledger
