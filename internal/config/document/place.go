package document

import "net/netip"

// RegionFields are the values of a region.
type RegionFields struct {
	Name  string
	Limit int     // Limit is the most requests in flight; 0 means the sum of the slots.
	Keep  float64 // Keep is the fraction of each service's slots that drains must leave, from 0 to 1.
}

// Region is a set of availability zones with a common limit.
type Region struct{ f RegionFields }

// NewRegion returns the region with the given values.
func NewRegion(f RegionFields) Region { return Region{f} }

// Name returns the region's name.
func (r Region) Name() string { return r.f.Name }

// Limit returns the most requests in flight in the region; 0 means the sum of its slots.
func (r Region) Limit() int { return r.f.Limit }

// Keep returns the fraction of each service's slots that drains must leave, from 0 to 1.
func (r Region) Keep() float64 { return r.f.Keep }

// Zone is an availability zone of a region.
type Zone struct{ name, region string }

// NewZone returns the availability zone name of the region.
func NewZone(name, region string) Zone { return Zone{name, region} }

// Name returns the zone's name.
func (z Zone) Name() string { return z.name }

// Region returns the name of the zone's region.
func (z Zone) Region() string { return z.region }

// TargetFields are the values of a target.
type TargetFields struct {
	Name    string
	Service string
	Zone    string
	Address netip.AddrPort
	Slots   int // Slots is the number of requests that the target runs at once.
	Conns   int // Conns is the most connections that the target holds.
}

// Target is a VM that runs requests of one service.
type Target struct{ f TargetFields }

// NewTarget returns the target with the given values.
func NewTarget(f TargetFields) Target { return Target{f} }

// Name returns the target's name.
func (t Target) Name() string { return t.f.Name }

// Service returns the name of the service that the target runs.
func (t Target) Service() string { return t.f.Service }

// Zone returns the name of the target's availability zone.
func (t Target) Zone() string { return t.f.Zone }

// Address returns where the target listens.
func (t Target) Address() netip.AddrPort { return t.f.Address }

// Slots returns how many requests the target runs at once.
func (t Target) Slots() int { return t.f.Slots }

// Conns returns the most connections that the target holds.
func (t Target) Conns() int { return t.f.Conns }

// Link is the path between two regions with the same limit each way.
type Link struct {
	a, b string
	rate int64
}

// NewLink returns the link between regions a and b with a limit in bytes per second each way.
func NewLink(a, b string, rate int64) Link { return Link{a, b, rate} }

// Ends returns the two regions that the link joins.
func (l Link) Ends() (a, b string) { return l.a, l.b }

// Rate returns the limit in bytes per second each way.
func (l Link) Rate() int64 { return l.rate }

// Joins reports whether the link joins the two regions, in either order.
func (l Link) Joins(x, y string) bool {
	return (l.a == x && l.b == y) || (l.a == y && l.b == x)
}

// EntryFields are the values of an entry VM.
type EntryFields struct {
	Name string
	Zone string
	Call netip.AddrPort // Call is where callers connect; the zero value means that the entry announces it.
	Peer netip.AddrPort // Peer is where other entries send control messages; the zero value means that the entry announces it.
	Pass netip.AddrPort // Pass is where other entries send relayed requests; the zero value means that the entry announces it.
}

// Entry is an entry VM of the system.
type Entry struct{ f EntryFields }

// NewEntry returns the entry with the given values.
func NewEntry(f EntryFields) Entry { return Entry{f} }

// Name returns the entry's name.
func (e Entry) Name() string { return e.f.Name }

// Zone returns the name of the entry's availability zone.
func (e Entry) Zone() string { return e.f.Zone }

// Call returns where callers connect, or the zero value.
func (e Entry) Call() netip.AddrPort { return e.f.Call }

// Peer returns where other entries send control messages, or the zero value.
func (e Entry) Peer() netip.AddrPort { return e.f.Peer }

// Pass returns where other entries send relayed requests, or the zero value.
func (e Entry) Pass() netip.AddrPort { return e.f.Pass }

// Block is a block of client addresses and the availability zone nearest to it.
type Block struct {
	prefix netip.Prefix
	zone   string
}

// NewBlock returns the block of addresses in prefix with its nearest availability zone.
func NewBlock(prefix netip.Prefix, zone string) Block { return Block{prefix, zone} }

// Prefix returns the block's addresses.
func (b Block) Prefix() netip.Prefix { return b.prefix }

// Zone returns the name of the nearest availability zone.
func (b Block) Zone() string { return b.zone }
