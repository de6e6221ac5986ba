package member

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed about a member.
type State uint8

// The states of a member.
const (
	// Alive means that the member's heartbeats arrive.
	Alive State = iota
	// Suspect means that no news of the member has arrived for a while.
	Suspect
	// Leaving means that the member has announced its stop.
	Leaving
	// Dead means that the member is left out of every decision.
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s&3]
}

// Fields are the values of a member.
type Fields struct {
	Name        string
	Incarnation [16]byte
	// Epoch orders the incarnations of one name, because random incarnations have no order of their own.
	Epoch      uint32
	Sequence   uint64
	Zone       string
	Region     string
	Call       netip.AddrPort
	Peer       netip.AddrPort
	Pass       netip.AddrPort
	State      State
	Version    uint64   // Version is the configuration version that the member holds.
	Successors []string // Successors names the entries that answer for this incarnation after its stop.
}

// Member is one run of an entry as seen from here.
type Member struct{ f Fields }

// New returns a member with the given values.
func New(f Fields) Member {
	f.Successors = slices.Clone(f.Successors)
	return Member{f}
}

// Name returns the entry's name.
func (m Member) Name() string { return m.f.Name }

// Incarnation returns the identity of the entry's run.
func (m Member) Incarnation() [16]byte { return m.f.Incarnation }

// Epoch returns the rank of this incarnation among those of the same name.
func (m Member) Epoch() uint32 { return m.f.Epoch }

// Sequence returns the number of the newest heartbeat.
func (m Member) Sequence() uint64 { return m.f.Sequence }

// Zone returns the entry's availability zone.
func (m Member) Zone() string { return m.f.Zone }

// Region returns the entry's region.
func (m Member) Region() string { return m.f.Region }

// Call returns where callers connect.
func (m Member) Call() netip.AddrPort { return m.f.Call }

// Peer returns where other entries send control messages.
func (m Member) Peer() netip.AddrPort { return m.f.Peer }

// Pass returns where other entries send relayed requests.
func (m Member) Pass() netip.AddrPort { return m.f.Pass }

// State returns what is believed about the member.
func (m Member) State() State { return m.f.State }

// Version returns the configuration version that the member was last known to hold.
func (m Member) Version() uint64 { return m.f.Version }

// Successors returns the entries that answer for this incarnation after its stop.
func (m Member) Successors() []string { return slices.Clone(m.f.Successors) }

// Fields returns a copy of the member's values.
func (m Member) Fields() Fields {
	f := m.f
	f.Successors = slices.Clone(f.Successors)
	return f
}

// Live reports whether the member counts for ownership: suspicion alone does not take it out.
func (m Member) Live() bool { return m.f.State == Alive || m.f.State == Suspect }

// Digest identifies everything in the record that a heartbeat does not change, so a heartbeat can stand for the record.
func (m Member) Digest() uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(m.f.Name + "\x00" + m.f.Zone + "\x00" + m.f.Region + "\x00")
	_, _ = h.Write(m.f.Incarnation[:])
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, m.f.Epoch))
	for _, a := range []netip.AddrPort{m.f.Call, m.f.Peer, m.f.Pass} {
		_, _ = h.WriteString(a.String())
	}
	if m.f.State == Leaving {
		_, _ = h.WriteString("leaving")
	}
	for _, name := range m.f.Successors {
		_, _ = h.WriteString("\x00" + name)
	}
	return uint32(h.Sum64())
}

// compareRuns orders two incarnations of the same name; the higher one is current.
func compareRuns(a, b Member) int {
	if c := cmp.Compare(a.f.Epoch, b.f.Epoch); c != 0 {
		return c
	}
	return bytes.Compare(a.f.Incarnation[:], b.f.Incarnation[:])
}
