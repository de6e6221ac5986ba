// Package forward measures the request path: the latency, CPU time and memory that
// an entry adds to a direct call to a target, all on loopback in one process.
package forward
