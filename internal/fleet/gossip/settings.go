package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// The defaults of the settings and the bounds of one message.
const (
	DefaultInterval = 200 * time.Millisecond
	DefaultBudget   = 4096 // bytes/s sent by a node
	DefaultDeadline = 2 * time.Second
	DefaultBeats    = 64

	maxMembers  = 16 // full records in a message (docs/design.md, section 6)
	maxDoubts   = 16 // members to ask for news of in a message
	maxPeers    = 16 // peers that a new entry asks
	fanout      = 4  // peers that a new version is pushed to
	watchers    = 3
	wantAgain   = 5 * time.Second // an unknown digest is asked for again after this time
	maxInterval = 10 * time.Second
	maxFrame    = 32 << 20  // bytes of one message; the largest is a configuration
	maxGreeting = 4 << 10   // bytes of one message before the peer has proved the key
	maxStatus   = 256 << 10 // bytes of a peer's status; an entry's part of the fleet's status is a few KB
)

// Settings are the fixed values of a service.
type Settings struct {
	Self     member.Member
	Key      []byte           // Key is the secret shared by all entries.
	Seeds    []netip.AddrPort // Seeds are the configured peer addresses.
	Interval time.Duration    // Interval is the shortest time between two exchanges.
	Budget   int              // Budget is the most bytes sent per second, configurations excepted.
	Deadline time.Duration    // Deadline is how long a peer may take to answer.
	Beats    int              // Beats is the most heartbeats in a message.
}

func (s Settings) withDefaults() Settings {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.Budget <= 0 {
		s.Budget = DefaultBudget
	}
	if s.Deadline <= 0 {
		s.Deadline = DefaultDeadline
	}
	if s.Beats <= 0 {
		s.Beats = DefaultBeats
	}
	return s
}

// Holder holds the adopted configuration; it must be safe for concurrent use.
type Holder interface {
	Raw() (version uint64, hash [32]byte, data []byte)
	Adopt(version uint64, hash [32]byte, data []byte) (bool, error)
	Raise(floor uint64)
}

// Logger receives numbered events.
type Logger interface {
	Log(n event.Number, keyvals ...any)
}

// Dependencies are what a service needs from outside.
type Dependencies struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Holder Holder
	Now    func() time.Time
	Seed   uint64
	Events Logger
	// Tickets takes over the tickets of a stopping peer; nil refuses them.
	Tickets func(ctx context.Context, from member.Member, data []byte) error
	// Status returns this entry's part of the fleet's status as bytes that only the callers understand; nil refuses.
	Status func() []byte
}
