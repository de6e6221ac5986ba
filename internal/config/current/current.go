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
	// ErrFork means that the adopted version was offered again with other content.
	ErrFork = errors.New("current: same version with another hash")
	// ErrHash means that the offered data does not match the offered hash.
	ErrHash = errors.New("current: content does not match its hash")
)

type adoptedVersion struct {
	version  uint64
	hash     [32]byte
	data     []byte
	document *document.Document
}

// Current holds the adopted configuration. It is safe for concurrent use and its reads take no lock.
type Current struct {
	adopted atomic.Pointer[adoptedVersion]
	floor   atomic.Uint64
	adoptMu sync.Mutex // serializes adoptions
}

// New returns a Current without a configuration.
func New() *Current { return &Current{} }

// Document returns the adopted configuration, or nil before the first adoption.
func (c *Current) Document() *document.Document {
	if a := c.adopted.Load(); a != nil {
		return a.document
	}
	return nil
}

// Raw returns the adopted version, its hash and its encoded form, which must not be changed; version 0 means none.
func (c *Current) Raw() (version uint64, hash [32]byte, data []byte) {
	if a := c.adopted.Load(); a != nil {
		return a.version, a.hash, a.data
	}
	return 0, hash, nil
}

// Adopt replaces the adopted version by the offered one if that is newer, and reports whether it did.
// It returns ErrFork when the same version has another hash. It keeps data, which must not be changed.
func (c *Current) Adopt(version uint64, hash [32]byte, data []byte) (bool, error) {
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	if a := c.adopted.Load(); a != nil && version <= a.version {
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
		return false, fmt.Errorf("current: document has version %d, offered as %d", d.Version(), version)
	}
	c.adopted.Store(&adoptedVersion{version, hash, data, d})
	return true, nil
}

// Raise raises the floor to at least the given version.
func (c *Current) Raise(floor uint64) {
	for {
		old := c.floor.Load()
		if floor <= old || c.floor.CompareAndSwap(old, floor) {
			return
		}
	}
}

// Floor returns the lowest version with which this process may serve requests.
func (c *Current) Floor() uint64 { return c.floor.Load() }

// Ready reports whether a document at or above the floor has been adopted.
func (c *Current) Ready() bool {
	a := c.adopted.Load()
	return a != nil && a.version >= c.floor.Load()
}
