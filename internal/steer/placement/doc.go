// Package placement assigns objects to targets by rendezvous hashing, so that
// every entry sends an object to the same target without coordination.
package placement
