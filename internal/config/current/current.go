package current

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
)

var (
	// ErrFork means that a version was offered with another content than the adopted one.
	ErrFork = errors.New("current: same version with another hash")
	// ErrHash means that the offered bytes do not have the offered hash.
	ErrHash = errors.New("current: content does not match its hash")
)

type adopted struct {
	version  uint64
	hash     [32]byte
	data     []byte
	document *document.Document
}

// Current is the adopted configuration; it is safe for concurrent use and its reads take no lock.
type Current struct {
	held  atomic.Pointer[adopted]
	floor atomic.Uint64
	adopt sync.Mutex // orders adoptions
}

// New returns a holder without a configuration.
func New() *Current { return &Current{} }

// Document returns the adopted configuration, or nil before the first adoption.
func (c *Current) Document() *document.Document {
	if a := c.held.Load(); a != nil {
		return a.document
	}
	return nil
}

// Raw returns the adopted version, its hash and its encoded form, which must not be changed; version 0 means none.
func (c *Current) Raw() (version uint64, hash [32]byte, data []byte) {
	if a := c.held.Load(); a != nil {
		return a.version, a.hash, a.data
	}
	return 0, hash, nil
}

// Adopt takes over the offered version if it is newer than the adopted one and reports whether it did.
// It returns ErrFork when the same version has another hash, and keeps data, which must not be changed.
func (c *Current) Adopt(version uint64, hash [32]byte, data []byte) (bool, error) {
	c.adopt.Lock()
	defer c.adopt.Unlock()
	if a := c.held.Load(); a != nil && version <= a.version {
		if version == a.version && hash != a.hash {
			return false, fmt.Errorf("%w: version %d", ErrFork, version)
		}
		return false, nil
	}
	if sha256.Sum256(data) != hash {
		return false, fmt.Errorf("%w: version %d", ErrHash, version)
	}
	d, err := codec.Decode(data)
	if err != nil {
		return false, fmt.Errorf("current: version %d: %w", version, err)
	}
	if d.Version() != version {
		return false, fmt.Errorf("current: document says version %d, offered as %d", d.Version(), version)
	}
	c.held.Store(&adopted{version, hash, data, d})
	return true, nil
}

// Raise lifts the floor to at least the given version.
func (c *Current) Raise(floor uint64) {
	for {
		old := c.floor.Load()
		if floor <= old || c.floor.CompareAndSwap(old, floor) {
			return
		}
	}
}

// Floor returns the lowest version with which this process may serve.
func (c *Current) Floor() uint64 { return c.floor.Load() }

// Ready reports whether a document at or above the floor has been adopted.
func (c *Current) Ready() bool {
	a := c.held.Load()
	return a != nil && a.version >= c.floor.Load()
}
