//go:build review

// Command standins plays the cases of the review: it starts the entries as the
// deploy file does, with stand-ins of the platform's store, workers and clients.
package main
