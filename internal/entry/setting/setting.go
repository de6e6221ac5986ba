package setting

import (
	"crypto/tls"
	"errors"
	"net/netip"
	"time"
)

// Raw holds the unchecked settings of an entry.
type Raw struct {
	Name, Zone, Region              string
	Call, Peer, Pass, Admin         string   // addresses to listen on for callers, control messages, relayed requests and operators
	Store, Roster                   string   // base URLs of the key-value service and the VM list; empty means none
	Peers                           []string // control addresses of the entries to contact at the start
	PeerKey, OperatorKey, StoreKey  string
	Cert, CertKey                   string // PEM files with the certificate chain and its key; both or neither
	StopLimit, LookupTTL, Retention time.Duration
	MaxOrderKeys, HeaderLimit       int // number of idempotency keys held in memory; request header size in bytes
	Seed                            uint64
}

// Settings holds the checked settings of an entry.
type Settings struct {
	raw                                      Raw
	callAddr, peerAddr, relayAddr, adminAddr netip.AddrPort
	peerAddrs                                []netip.AddrPort
	tlsConfig                                *tls.Config
}

// The accepted ranges. With a time to live below 1 s, callers look up before
// nearly every request; above 60 s, a leaving entry must keep serving for that
// long. An order is a request that must run at most once; a memory of fewer than
// 1,000 order keys (their idempotency keys) is full within seconds.
const (
	minStopLimit, maxStopLimit     = time.Second, 24 * time.Hour
	minTTL, maxTTL                 = time.Second, time.Minute
	minRetention, maxRetention     = time.Hour, 7 * 24 * time.Hour
	minOrderKeys, maxOrderKeys     = 1_000, 10_000_000
	minHeaderBytes, maxHeaderBytes = 4 << 10, 1 << 20
	minPeerKeyBytes                = 8
	minOperatorKeyBytes            = 16
)

// New returns the checked settings, or an error that lists every invalid flag.
func New(raw Raw) (Settings, error) {
	s := Settings{raw: raw}
	var c checker
	c.checkName("name", raw.Name)
	c.checkName("zone", raw.Zone)
	c.checkName("region", raw.Region)
	s.callAddr = c.parseAddress("call", raw.Call)
	s.peerAddr = c.parseAddress("peer", raw.Peer)
	s.relayAddr = c.parseAddress("pass", raw.Pass)
	s.adminAddr = c.parseAddress("admin", raw.Admin)
	for _, p := range raw.Peers {
		s.peerAddrs = append(s.peerAddrs, c.parseAddress("peers", p))
	}
	c.checkBaseURL("store", raw.Store)
	c.checkBaseURL("roster", raw.Roster)
	c.checkKey("peer-key", raw.PeerKey, minPeerKeyBytes)
	c.checkKey("operator-key", raw.OperatorKey, minOperatorKeyBytes)
	if raw.OperatorKey == raw.PeerKey {
		c.fail("operator-key", "equal to --peer-key; the keys must differ")
	}
	s.tlsConfig = c.loadCertificate(raw.Cert, raw.CertKey)
	checkRange(&c, "stop-limit", raw.StopLimit, minStopLimit, maxStopLimit)
	checkRange(&c, "lookup-ttl", raw.LookupTTL, minTTL, maxTTL)
	checkRange(&c, "retention", raw.Retention, minRetention, maxRetention)
	checkRange(&c, "keys", raw.MaxOrderKeys, minOrderKeys, maxOrderKeys)
	checkRange(&c, "header-limit", raw.HeaderLimit, minHeaderBytes, maxHeaderBytes)
	return s, errors.Join(c.errs...)
}

// Name returns the entry's name in the configuration.
func (s Settings) Name() string { return s.raw.Name }

// Zone returns the entry's availability zone.
func (s Settings) Zone() string { return s.raw.Zone }

// Region returns the entry's region.
func (s Settings) Region() string { return s.raw.Region }

// CallAddr returns the listen address for callers.
func (s Settings) CallAddr() netip.AddrPort { return s.callAddr }

// PeerAddr returns the listen address for control messages of other entries.
func (s Settings) PeerAddr() netip.AddrPort { return s.peerAddr }

// RelayAddr returns the listen address for relayed requests.
func (s Settings) RelayAddr() netip.AddrPort { return s.relayAddr }

// AdminAddr returns the listen address for operators.
func (s Settings) AdminAddr() netip.AddrPort { return s.adminAddr }

// StoreURL returns the base URL of the key-value service, or an empty string.
func (s Settings) StoreURL() string { return s.raw.Store }

// RosterURL returns the base URL of the VM list, or an empty string.
func (s Settings) RosterURL() string { return s.raw.Roster }

// PeerAddrs returns the control addresses of the entries that are contacted at the start.
func (s Settings) PeerAddrs() []netip.AddrPort { return s.peerAddrs }

// PeerKey returns the token that all entries share.
func (s Settings) PeerKey() string { return s.raw.PeerKey }

// OperatorKey returns the token of the operators.
func (s Settings) OperatorKey() string { return s.raw.OperatorKey }

// StoreKey returns the token of the key-value service, or an empty string.
func (s Settings) StoreKey() string { return s.raw.StoreKey }

// StopLimit returns the longest time that a graceful shutdown may take.
func (s Settings) StopLimit() time.Duration { return s.raw.StopLimit }

// LookupTTL returns how long callers cache a look-up.
func (s Settings) LookupTTL() time.Duration { return s.raw.LookupTTL }

// Retention returns how long caller-chosen idempotency keys are remembered.
func (s Settings) Retention() time.Duration { return s.raw.Retention }

// MaxOrderKeys returns the maximum number of idempotency keys of orders held in memory.
func (s Settings) MaxOrderKeys() int { return s.raw.MaxOrderKeys }

// MaxHeaderBytes returns the maximum size of a request header in bytes.
func (s Settings) MaxHeaderBytes() int { return s.raw.HeaderLimit }

// Seed returns the seed of the entry's random choices.
func (s Settings) Seed() uint64 { return s.raw.Seed }

// TLS returns the TLS configuration of the callers' and operators' ports, or nil if they do not use TLS.
func (s Settings) TLS() *tls.Config { return s.tlsConfig }
