// Package orders measures the ways to run an order at most once and checks the
// product's way under faults.
//
// Measure compares a claim per order, batched claims and tickets in one run.
// Check runs several entries' order registries against a fake network, a fake
// target and the store stand-in, records what callers were told and what ran,
// and checks the history.
package orders
