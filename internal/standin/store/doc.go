// Package store is a stand-in of the platform's key-value service for tests and
// the demo: an HTTP and JSON server in memory with switchable faults. Writes are
// atomic and revisions grow over all keys.
package store
