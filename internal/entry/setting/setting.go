package setting

import (
	"crypto/tls"
	"errors"
	"net/netip"
	"time"
)

// Raw holds the settings of an entry as an operator writes them.
type Raw struct {
	Name, Zone, Region       string
	Call, Peer, Pass, Admin  string // addresses to listen on
	Store, Roster            string // base addresses of the platform's services; empty means none
	Peers                    []string
	Peerkey, Opkey, Storekey string
	Cert, Certkey            string // files with the certificate chain and its key; both or none
	Stop, TTL, Retention     time.Duration
	Keys, Header             int
	Seed                     uint64
}

// Settings are the checked settings of an entry.
type Settings struct {
	raw                     Raw
	call, peer, pass, admin netip.AddrPort
	peers                   []netip.AddrPort
	tls                     *tls.Config
}

// The accepted ranges. A time to live below 1 s would make callers look up
// before nearly every request; one above 60 s would keep a leaving entry busy
// for that long. Fewer than 1,000 order keys fill up within seconds.
const (
	minStop, maxStop           = time.Second, 24 * time.Hour
	minTTL, maxTTL             = time.Second, time.Minute
	minRetention, maxRetention = time.Hour, 7 * 24 * time.Hour
	minKeys, maxKeys           = 1_000, 10_000_000
	minHeader, maxHeader       = 4 << 10, 1 << 20
	minPeerkey                 = 8
	minOpkey                   = 16
)

// New returns the checked settings, or an error that lists every flag at fault.
func New(raw Raw) (Settings, error) {
	s := Settings{raw: raw}
	var c checker
	c.text("name", raw.Name)
	c.text("zone", raw.Zone)
	c.text("region", raw.Region)
	s.call = c.address("call", raw.Call)
	s.peer = c.address("peer", raw.Peer)
	s.pass = c.address("pass", raw.Pass)
	s.admin = c.address("admin", raw.Admin)
	for _, p := range raw.Peers {
		s.peers = append(s.peers, c.address("peers", p))
	}
	c.base("store", raw.Store)
	c.base("roster", raw.Roster)
	c.secret("peer-key", raw.Peerkey, minPeerkey)
	c.secret("operator-key", raw.Opkey, minOpkey)
	if raw.Opkey == raw.Peerkey {
		c.fail("operator-key", "it equals --peer-key; the keys must differ")
	}
	s.tls = c.certificate(raw.Cert, raw.Certkey)
	within(&c, "stop-limit", raw.Stop, minStop, maxStop)
	within(&c, "lookup-ttl", raw.TTL, minTTL, maxTTL)
	within(&c, "retention", raw.Retention, minRetention, maxRetention)
	within(&c, "keys", raw.Keys, minKeys, maxKeys)
	within(&c, "header-limit", raw.Header, minHeader, maxHeader)
	return s, errors.Join(c.errs...)
}

// Name returns the entry's name in the configuration.
func (s Settings) Name() string { return s.raw.Name }

// Zone returns the entry's availability zone.
func (s Settings) Zone() string { return s.raw.Zone }

// Region returns the entry's region.
func (s Settings) Region() string { return s.raw.Region }

// Call returns where to listen for callers.
func (s Settings) Call() netip.AddrPort { return s.call }

// Peer returns where to listen for control messages of other entries.
func (s Settings) Peer() netip.AddrPort { return s.peer }

// Pass returns where to listen for relayed requests.
func (s Settings) Pass() netip.AddrPort { return s.pass }

// Admin returns where to listen for operators.
func (s Settings) Admin() netip.AddrPort { return s.admin }

// Store returns the base address of the key-value service, or an empty string.
func (s Settings) Store() string { return s.raw.Store }

// Roster returns the base address of the VM list, or an empty string.
func (s Settings) Roster() string { return s.raw.Roster }

// Peers returns the control addresses of entries that are asked at the start.
func (s Settings) Peers() []netip.AddrPort { return s.peers }

// Peerkey returns the token that entries share.
func (s Settings) Peerkey() string { return s.raw.Peerkey }

// Opkey returns the token of the operators.
func (s Settings) Opkey() string { return s.raw.Opkey }

// Storekey returns the token of the key-value service, or an empty string.
func (s Settings) Storekey() string { return s.raw.Storekey }

// Stop returns the longest time that a graceful shutdown may take.
func (s Settings) Stop() time.Duration { return s.raw.Stop }

// TTL returns how long callers keep a look-up.
func (s Settings) TTL() time.Duration { return s.raw.TTL }

// Retention returns how long caller-chosen keys are remembered.
func (s Settings) Retention() time.Duration { return s.raw.Retention }

// Keys returns the most order keys held in memory.
func (s Settings) Keys() int { return s.raw.Keys }

// Header returns the largest accepted request header in bytes.
func (s Settings) Header() int { return s.raw.Header }

// Seed returns the seed of the entry's random choices.
func (s Settings) Seed() uint64 { return s.raw.Seed }

// TLS returns the configuration of the callers' and operators' ports, or nil when they do not use TLS.
func (s Settings) TLS() *tls.Config { return s.tls }
