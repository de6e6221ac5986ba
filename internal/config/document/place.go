package document

import "net/netip"

// RegionFields are the values of a region.
type RegionFields struct {
	Name         string
	MaxInFlight  int     // MaxInFlight is the maximum number of requests in flight; 0 means the sum of the slots.
	KeepFraction float64 // KeepFraction is the fraction of each service's slots that drains must leave in use, from 0 to 1.
}

// Region is a set of availability zones with a common limit on requests in flight.
type Region struct{ fields RegionFields }

// NewRegion returns the region with the given values.
func NewRegion(f RegionFields) Region { return Region{f} }

// Name returns the region's name.
func (r Region) Name() string { return r.fields.Name }

// MaxInFlight returns the maximum number of requests in flight in the region; 0 means the sum of its slots.
func (r Region) MaxInFlight() int { return r.fields.MaxInFlight }

// KeepFraction returns the fraction of each service's slots that drains must leave in use, from 0 to 1.
func (r Region) KeepFraction() float64 { return r.fields.KeepFraction }

// Zone is an availability zone of a region.
type Zone struct{ name, region string }

// NewZone returns the availability zone with the given name in the region.
func NewZone(name, region string) Zone { return Zone{name, region} }

// Name returns the zone's name.
func (z Zone) Name() string { return z.name }

// Region returns the name of the zone's region.
func (z Zone) Region() string { return z.region }

// TargetFields are the values of a target.
type TargetFields struct {
	Name     string
	Service  string
	Zone     string
	Address  netip.AddrPort
	Slots    int // Slots is the number of requests that the target runs concurrently.
	MaxConns int // MaxConns is the maximum number of open connections to the target.
}

// Target is a VM that runs requests of one service.
type Target struct{ fields TargetFields }

// NewTarget returns the target with the given values.
func NewTarget(f TargetFields) Target { return Target{f} }

// Name returns the target's name.
func (t Target) Name() string { return t.fields.Name }

// Service returns the name of the service that the target runs.
func (t Target) Service() string { return t.fields.Service }

// Zone returns the name of the target's availability zone.
func (t Target) Zone() string { return t.fields.Zone }

// Address returns the address on which the target listens.
func (t Target) Address() netip.AddrPort { return t.fields.Address }

// Slots returns how many requests the target runs concurrently.
func (t Target) Slots() int { return t.fields.Slots }

// MaxConns returns the maximum number of open connections to the target.
func (t Target) MaxConns() int { return t.fields.MaxConns }

// Link is the network path between two regions, with the same bandwidth limit in each direction.
type Link struct {
	a, b string
	rate int64
}

// NewLink returns the link between regions a and b with a limit in bytes per second in each direction.
func NewLink(a, b string, rate int64) Link { return Link{a, b, rate} }

// Ends returns the names of the two regions that the link connects.
func (l Link) Ends() (a, b string) { return l.a, l.b }

// BytesPerSecond returns the limit in bytes per second in each direction.
func (l Link) BytesPerSecond() int64 { return l.rate }

// Joins reports whether the link connects the two regions, in either order.
func (l Link) Joins(x, y string) bool {
	return (l.a == x && l.b == y) || (l.a == y && l.b == x)
}

// EntryFields are the values of an entry VM.
type EntryFields struct {
	Name          string
	Zone          string
	CallerAddress netip.AddrPort // CallerAddress is the address for callers; the zero value means that the entry announces it.
	PeerAddress   netip.AddrPort // PeerAddress is the address for control messages of other entries; the zero value means that the entry announces it.
	RelayAddress  netip.AddrPort // RelayAddress is the address for requests relayed by other entries; the zero value means that the entry announces it.
}

// Entry is an entry VM, which runs a proxy process.
type Entry struct{ fields EntryFields }

// NewEntry returns the entry with the given values.
func NewEntry(f EntryFields) Entry { return Entry{f} }

// Name returns the entry's name.
func (e Entry) Name() string { return e.fields.Name }

// Zone returns the name of the entry's availability zone.
func (e Entry) Zone() string { return e.fields.Zone }

// CallerAddress returns the address for callers, or the zero value.
func (e Entry) CallerAddress() netip.AddrPort { return e.fields.CallerAddress }

// PeerAddress returns the address for control messages of other entries, or the zero value.
func (e Entry) PeerAddress() netip.AddrPort { return e.fields.PeerAddress }

// RelayAddress returns the address for requests relayed by other entries, or the zero value.
func (e Entry) RelayAddress() netip.AddrPort { return e.fields.RelayAddress }

// ClientBlock is a block of client addresses and the availability zone nearest to it.
type ClientBlock struct {
	prefix netip.Prefix
	zone   string
}

// NewClientBlock returns the address block prefix with its nearest availability zone.
func NewClientBlock(prefix netip.Prefix, zone string) ClientBlock { return ClientBlock{prefix, zone} }

// Prefix returns the block's address prefix.
func (b ClientBlock) Prefix() netip.Prefix { return b.prefix }

// Zone returns the name of the availability zone nearest to the block.
func (b ClientBlock) Zone() string { return b.zone }
