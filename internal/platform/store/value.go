package store

import (
	"errors"
	"slices"
)

// The errors of the client; all of its errors match one of them under errors.Is, or a context error.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key is at another revision than expected and that nothing was written.
	ErrConflict = errors.New("store: key is at another revision")
	// ErrUnavailable means that the service gave no usable response and that the call had no effect.
	ErrUnavailable = errors.New("store: service unavailable")
	// ErrUnknown means that a write was sent and may have taken effect.
	ErrUnknown = errors.New("store: write sent but not answered")
	// ErrLimited means that the service refused the call because of its rate; it also matches ErrUnavailable.
	ErrLimited = errors.New("store: call rate above the service's limit")
	// ErrSilent means that a watch gave no sign of life within its deadline; it also matches ErrUnavailable.
	ErrSilent = errors.New("store: watch is silent")
	// ErrLease means that the lease has lapsed or never existed and that nothing was written.
	ErrLease = errors.New("store: lease has lapsed")
	// ErrInput means that the service refused the call as malformed or too large.
	ErrInput = errors.New("store: call refused as malformed or too large")
)

// Limit is the largest value in bytes that the service holds.
const Limit = 1 << 20

// Value is the content of a key at one revision.
type Value struct {
	key      string
	data     []byte
	revision uint64
}

// NewValue returns a value; it is for implementations of the client's interface in tests.
func NewValue(key string, data []byte, revision uint64) Value {
	return Value{key, slices.Clone(data), revision}
}

// Key returns the key.
func (v Value) Key() string { return v.key }

// Data returns the content; the slice must not be changed.
func (v Value) Data() []byte { return v.data }

// Revision returns the revision of the last write of the key; revisions grow over all keys.
func (v Value) Revision() uint64 { return v.revision }
