// Package orders measures methods of running an order at most once and checks the
// product's method under faults.
//
// Measure compares a claim per order, batched claims and tickets in one run.
// Check runs several entries' order registries against a fake network, a fake
// target and the store stand-in, records the callers' answers and the target's
// runs, and checks the history. CheckLoopback does the same with real entries on loopback.
package orders
