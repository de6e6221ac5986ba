// Package decision holds the immutable snapshot of the steering decisions and
// the counters that outlive it. All of it is safe for concurrent use.
package decision
