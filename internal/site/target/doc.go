// Package target describes a target, a process that runs callers' requests, by its
// registration in the platform's store.
package target
