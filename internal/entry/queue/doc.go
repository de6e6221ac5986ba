// Package queue implements a priority queue in which requests wait for a free
// slot for a short, bounded time.
package queue
