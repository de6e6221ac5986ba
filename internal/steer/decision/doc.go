// Package decision holds the immutable snapshot of the routing decisions and
// the counters that outlive it. Everything in it is safe for concurrent use.
package decision
