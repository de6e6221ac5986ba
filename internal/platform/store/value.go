package store

import (
	"errors"
	"slices"
)

// The errors of the client. Each error that it returns matches one of them, or a context error, under errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key is not at the expected revision and that nothing was written.
	ErrConflict = errors.New("store: key is not at the expected revision")
	// ErrUnavailable means that the service gave no usable response and that the call had no effect.
	ErrUnavailable = errors.New("store: service unavailable")
	// ErrOutcomeUnknown means that a write was sent but had no usable response, so it may have taken effect.
	ErrOutcomeUnknown = errors.New("store: write sent but no response received")
	// ErrRateLimited means that the service refused the call because of its rate limit. Such an error also matches ErrUnavailable.
	ErrRateLimited = errors.New("store: call refused by the service's rate limit")
	// ErrWatchTimeout means that a watch had no response within its timeout. Such an error also matches ErrUnavailable.
	ErrWatchTimeout = errors.New("store: no response to the watch")
	// ErrLeaseExpired means that the lease has expired or never existed and that nothing was written.
	ErrLeaseExpired = errors.New("store: lease has expired")
	// ErrInvalidCall means that the service refused the call as malformed or too large.
	ErrInvalidCall = errors.New("store: call refused as malformed or too large")
)

// MaxValueBytes is the largest value in bytes that the service accepts.
const MaxValueBytes = 1 << 20

// Value is the content of a key at one revision.
type Value struct {
	key      string
	data     []byte
	revision uint64
}

// NewValue returns a value. It is meant for fakes of the client in tests.
func NewValue(key string, data []byte, revision uint64) Value {
	return Value{key, slices.Clone(data), revision}
}

// Key returns the key.
func (v Value) Key() string { return v.key }

// Data returns the content; the slice must not be changed.
func (v Value) Data() []byte { return v.data }

// Revision returns the revision of the last write of the key. Revisions increase across all keys.
func (v Value) Revision() uint64 { return v.revision }
