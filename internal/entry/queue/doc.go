// Package queue lets requests wait for a free slot for a short, bounded time.
package queue
