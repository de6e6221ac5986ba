package lookup

import (
	"net/netip"
	"time"
)

// TTL is how long a client may cache an answer.
const TTL = 10 * time.Second

// Query is a request for the entries of a service for a client.
type Query struct {
	Service string
	Client  netip.Addr // Client is the zero value when the caller's address is unknown.
}

// Choice is an entry in an answer.
type Choice struct {
	name    string
	zone    string
	address netip.AddrPort
}

// Name returns the entry's name.
func (c Choice) Name() string { return c.name }

// Zone returns the entry's availability zone.
func (c Choice) Zone() string { return c.zone }

// Address returns the address that callers connect to.
func (c Choice) Address() netip.AddrPort { return c.address }

// maxEntries is the maximum number of entries in an answer.
const maxEntries = 4

// Answer lists the selected entries in order of preference. There are maxEntries-1, or fewer if the region has fewer.
type Answer struct {
	version uint64
	home    string
	region  string
	entries [maxEntries]Choice
	count   int
}

// Version returns the configuration version that the answer is based on.
func (a Answer) Version() uint64 { return a.version }

// Home returns the caller's home region.
func (a Answer) Home() string { return a.home }

// Region returns the region of the selected entries.
func (a Answer) Region() string { return a.region }

// TTL returns how long the answer may be cached.
func (a Answer) TTL() time.Duration { return TTL }

// Entries returns the selected entries, the preferred one first.
func (a *Answer) Entries() []Choice { return a.entries[:a.count] }
