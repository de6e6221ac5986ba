package member

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as judged by the local entry.
type State uint8

// The states of a member.
const (
	// Alive means that the member's heartbeats arrive.
	Alive State = iota
	// Suspect means that no heartbeat of the member has arrived within the suspicion timeout.
	Suspect
	// Leaving means that the member has announced its shutdown.
	Leaving
	// Dead means that the member has timed out and is excluded from every decision.
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s&3]
}

// Fields holds the values of a member.
type Fields struct {
	Name        string
	Incarnation [16]byte
	// Epoch orders the incarnations of one name, because incarnations are random and have no order.
	Epoch      uint32
	Sequence   uint64
	Zone       string
	Region     string
	CallAddr   netip.AddrPort
	PeerAddr   netip.AddrPort
	RelayAddr  netip.AddrPort
	State      State
	Version    uint64   // Version is the configuration version that the member last reported.
	Successors []string // Successors names the entries that hold this incarnation's tickets after its shutdown.
}

// Member is one incarnation of an entry, as known to the local entry.
type Member struct{ fields Fields }

// New returns a member with the given values.
func New(f Fields) Member {
	f.Successors = slices.Clone(f.Successors)
	return Member{f}
}

// Name returns the entry's name.
func (m Member) Name() string { return m.fields.Name }

// Incarnation returns the random identifier of this run of the entry's process.
func (m Member) Incarnation() [16]byte { return m.fields.Incarnation }

// Epoch returns the number that orders the incarnations of the same name.
func (m Member) Epoch() uint32 { return m.fields.Epoch }

// Sequence returns the sequence number of the latest known heartbeat.
func (m Member) Sequence() uint64 { return m.fields.Sequence }

// Zone returns the entry's availability zone.
func (m Member) Zone() string { return m.fields.Zone }

// Region returns the entry's region.
func (m Member) Region() string { return m.fields.Region }

// CallAddr returns the address that callers connect to.
func (m Member) CallAddr() netip.AddrPort { return m.fields.CallAddr }

// PeerAddr returns the address that other entries send control messages to.
func (m Member) PeerAddr() netip.AddrPort { return m.fields.PeerAddr }

// RelayAddr returns the address that other entries send relayed requests to.
func (m Member) RelayAddr() netip.AddrPort { return m.fields.RelayAddr }

// State returns the state of the member as judged by the local entry.
func (m Member) State() State { return m.fields.State }

// Version returns the configuration version that the member last reported.
func (m Member) Version() uint64 { return m.fields.Version }

// Successors returns the names of the entries that hold this incarnation's tickets after its shutdown.
func (m Member) Successors() []string { return slices.Clone(m.fields.Successors) }

// Fields returns a copy of the member's values.
func (m Member) Fields() Fields {
	f := m.fields
	f.Successors = slices.Clone(f.Successors)
	return f
}

// Live reports whether the member may own key ranges and watch the configuration; a suspect member still may.
func (m Member) Live() bool { return m.fields.State == Alive || m.fields.State == Suspect }

// Digest returns a hash of all values that heartbeats do not change; a heartbeat refers to the record by its digest.
func (m Member) Digest() uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(m.fields.Name + "\x00" + m.fields.Zone + "\x00" + m.fields.Region + "\x00")
	_, _ = h.Write(m.fields.Incarnation[:])
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, m.fields.Epoch))
	for _, a := range []netip.AddrPort{m.fields.CallAddr, m.fields.PeerAddr, m.fields.RelayAddr} {
		_, _ = h.WriteString(a.String())
	}
	if m.fields.State == Leaving {
		_, _ = h.WriteString("leaving")
	}
	for _, name := range m.fields.Successors {
		_, _ = h.WriteString("\x00" + name)
	}
	return uint32(h.Sum64())
}

// compareIncarnations orders two incarnations of the same name; the higher one is the current one.
func compareIncarnations(a, b Member) int {
	if c := cmp.Compare(a.fields.Epoch, b.fields.Epoch); c != 0 {
		return c
	}
	return bytes.Compare(a.fields.Incarnation[:], b.fields.Incarnation[:])
}
