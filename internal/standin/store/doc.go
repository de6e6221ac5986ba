// Package store is a stand-in for the platform's key-value service for tests and
// the demo: an in-memory HTTP and JSON server with switchable faults. Writes are
// atomic, and one revision counter covers all keys.
package store
