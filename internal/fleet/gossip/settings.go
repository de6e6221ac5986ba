package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// The defaults of the settings and the limits of messages and peers.
const (
	DefaultInterval      = 200 * time.Millisecond
	DefaultBudget        = 4096 // bytes/s sent by an entry
	DefaultCallTimeout   = 2 * time.Second
	DefaultMaxHeartbeats = 64

	maxRecords        = 16 // full records in a message (docs/design.md, section 6)
	maxSilentMembers  = 16 // members whose heartbeats a message requests
	maxBootstrapPeers = 16 // peers that a starting entry contacts
	pushFanout        = 4  // peers that a new version is pushed to
	watcherCount      = 3
	wantRetryInterval = 5 * time.Second // time after which an unknown record is requested again
	maxInterval       = 10 * time.Second
	maxMessageBytes   = 32 << 20  // bytes of one message; the largest is a configuration
	maxHandshakeBytes = 4 << 10   // bytes of one message before the handshake is complete
	maxStatusBytes    = 256 << 10 // bytes of a peer's status, which is typically a few KB
)

// Settings holds the fixed values of a service; zero values of Interval, Budget, CallTimeout and MaxHeartbeats select the defaults.
type Settings struct {
	Self          member.Member
	Key           []byte           // Key is the secret shared by all entries.
	Seeds         []netip.AddrPort // Seeds holds the configured peer addresses.
	Interval      time.Duration    // Interval is the minimum time between two rounds of exchanges.
	Budget        int              // Budget is the limit of bytes sent per second, without configurations and status calls.
	CallTimeout   time.Duration    // CallTimeout is the time limit of a call to a peer.
	MaxHeartbeats int              // MaxHeartbeats is the maximum number of heartbeats in a message.
}

func (s Settings) withDefaults() Settings {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.Budget <= 0 {
		s.Budget = DefaultBudget
	}
	if s.CallTimeout <= 0 {
		s.CallTimeout = DefaultCallTimeout
	}
	if s.MaxHeartbeats <= 0 {
		s.MaxHeartbeats = DefaultMaxHeartbeats
	}
	return s
}

// Holder stores the current configuration; it must be safe for concurrent use.
type Holder interface {
	// Raw returns the current version, its hash and its encoded form; version 0 means that there is none.
	Raw() (version uint64, hash [32]byte, data []byte)
	// Adopt replaces the configuration if the version is newer and reports whether it did.
	Adopt(version uint64, hash [32]byte, data []byte) (bool, error)
	// Raise raises the lowest version with which the local entry may serve to at least floor.
	Raise(floor uint64)
}

// Logger logs numbered events.
type Logger interface {
	Log(n event.Number, keyvals ...any)
}

// Dependencies holds the functions and objects that a service uses.
type Dependencies struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Holder Holder
	Now    func() time.Time
	Seed   uint64
	Events Logger
	// AcceptTickets accepts the tickets of a stopping peer; if it is nil, they are rejected.
	AcceptTickets func(ctx context.Context, from member.Member, data []byte) error
	// Status returns the local entry's status in a form that is opaque to this package; if it is nil, status calls are
	// rejected.
	Status func() []byte
}
