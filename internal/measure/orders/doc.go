// Package orders measures methods of running an order at most once and checks the
// product's method under faults. An order is a request with an idempotency key. The key is
// either chosen by the caller and claimed in the store, or a ticket that an entry has issued.
//
// Measure compares a claim per order, batched claims and tickets in one run.
// Check runs several entries' order registries against a fake network, a fake
// target and the store stand-in, records the callers' answers and the target's
// runs, and checks the history. CheckLoopback does the same with real entries on loopback.
package orders
