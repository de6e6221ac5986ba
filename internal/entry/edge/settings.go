package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/record/traffic"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/mirror"
	"tamarackspool/internal/site/target"
	"tamarackspool/internal/steer/quota"
	"tamarackspool/internal/steer/spend"
)

// Settings are the validated settings of an entry.
type Settings struct {
	Name             string
	Zone             string
	Region           string
	RegionCount      int    // RegionCount is the number of regions of the deployment.
	CallAddress      string // CallAddress is the address for callers.
	ReadyAddress     string // ReadyAddress is the address of the platform's readiness check.
	DirectoryAddress string // DirectoryAddress is the address for lookups.
	PeerAddress      string // PeerAddress is the address for other entries.
	SeedAddresses    []string
	MetricsAddress   string // MetricsAddress is the address of the metrics page; empty for none.

	// Strength is this entry's traffic capacity, in Mbit/s.
	Strength    float64
	LookupTTL   time.Duration // LookupTTL is how long callers cache the answer to a lookup.
	GracePeriod time.Duration // GracePeriod is the time between the signal to stop and the end of the process.
	RetryBudget spend.Limits
	// RevokeBound is the longest time after its removal from the configuration for which a key may be acted on; 0 for no bound.
	RevokeBound time.Duration
	// QuotaTolerance is by how much the requests of an account may exceed its quota, over all entries.
	QuotaTolerance quota.Tolerance
	// OverloadShare is the part of a service's attempts that must fail for lack of free slots before less urgent requests, and
	// those of accounts beyond their fair share, are refused unsent; 0 for never.
	OverloadShare float64
	// HedgeShare is the part of a service's requests that may be sent to a second target while the first has not answered; 0 for none.
	HedgeShare  float64
	MemoryLimit int64 // MemoryLimit is the limit of the process in bytes.
}

// keepsAccounts reports whether the deployment's settings hold terms for client accounts.
func (s *Settings) keepsAccounts() bool {
	return s.RevokeBound > 0 || s.QuotaTolerance.Over > 0 || s.QuotaTolerance.Slack > 0
}

// Store is the client of the platform's key-value store.
type Store interface {
	mirror.Source
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// LeaseEnded reports whether the error means that the lease has ended.
	LeaseEnded(err error) bool
	// Era returns the newest era of the store that an answer has stated; 0 for none.
	Era() uint64
}

// Keys classifies the keys of the store and decodes their values.
type Keys interface {
	IsConfiguration(key string) bool
	EvacuatedZone(key string) (zone string, ok bool)
	TargetID(key string) (id string, ok bool)
	EntryName(key string) (name string, ok bool)
	EntryKey(name string) string
	DecodeConfiguration(data []byte) (*book.Book, error)
	DecodeTarget(id string, data []byte, at time.Time) (target.Target, error)
	DecodeEntry(name string, data []byte) (census.Entry, error)
}

// Headers reads and writes the headers of requests and answers.
type Headers interface {
	RequestID(h http.Header) string
	Deadline(h http.Header) (time.Duration, bool)
	SetDeadline(h http.Header, d time.Duration)
	SetTarget(h http.Header, id string)
	// TakeCredential removes the caller's key and account from a request and returns the key; false when it is not usable.
	TakeCredential(h http.Header) (key string, ok bool)
	// SetAccount gives the target the name of the caller's account.
	SetAccount(h http.Header, name string)
	// Object returns the affinity key of a request, which names what the request is about; empty when it has none.
	Object(h http.Header) string
	ProvesNotRun(status int, h http.Header) bool
	HasTargetStamp(h http.Header) bool
	// TargetLoad returns the load that the target of an answer reports.
	TargetLoad(h http.Header) (target.Load, bool)
	// TargetInstance returns the id of the target that answered a health check; empty when the answer has none.
	TargetInstance(h http.Header) string
	// ColdLeft returns the remaining cold time of the target that answered a health check; 0 when it is warm.
	ColdLeft(h http.Header) time.Duration
	// AnnouncesLeaving reports whether an answer says that its target is leaving.
	AnnouncesLeaving(h http.Header) bool
	// RequestedPause returns how long the target that rejected a request wants no further ones; 0 for none.
	RequestedPause(status int, h http.Header) time.Duration
}

// Pages makes the handlers of the platform's HTTP calls to an entry.
type Pages interface {
	// Ready returns the handler of the readiness check.
	Ready(ready func() bool) http.Handler
	// Directory returns the handler of lookups.
	Directory(near func(region, zone, caller string) []string, ttl time.Duration) http.Handler
}

// Dependencies are what an entry is built from.
type Dependencies struct {
	Store Store
	// StoreTraffic counts the bytes of the connections to the store.
	StoreTraffic *traffic.Meter
	Keys         Keys
	Headers      Headers
	Pages        Pages
	Dial         upstream.Dial
	Listen       func(network, address string) (net.Listener, error) // Listen is net.Listen outside tests.
	Events       *event.Log
	Dropped      func() int64 // Dropped returns how many log lines were dropped.
	// Uptime returns the time of a monotonic clock that advances while the machine is suspended.
	Uptime func() time.Duration
}
