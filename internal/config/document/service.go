package document

import (
	"slices"
	"time"
)

// ServiceFields are the values of a service.
type ServiceFields struct {
	Name         string
	AtMostOnce   bool          // AtMostOnce means that each request requires an idempotency key and that each key runs at most once.
	Priority     int           // Priority orders services under overload; 0 is served first.
	Timeout      time.Duration // Timeout applies when the caller sets none.
	MaxTimeout   time.Duration // MaxTimeout is the longest timeout that a caller may set.
	MaxBodyBytes int64         // MaxBodyBytes is the largest request body in bytes.
	MaxShiftRate float64       // MaxShiftRate limits how fast the rate of requests served outside their callers' home region may grow, in requests/s per second.
}

// Service is a kind of request that callers send and targets run.
type Service struct{ fields ServiceFields }

// NewService returns the service with the given values.
func NewService(f ServiceFields) Service { return Service{f} }

// Name returns the service's name.
func (s Service) Name() string { return s.fields.Name }

// AtMostOnce reports whether each request requires an idempotency key and runs at most once.
func (s Service) AtMostOnce() bool { return s.fields.AtMostOnce }

// Priority returns the service's rank under overload; 0 is served first.
func (s Service) Priority() int { return s.fields.Priority }

// Timeout returns the timeout of a request whose caller sets none.
func (s Service) Timeout() time.Duration { return s.fields.Timeout }

// MaxTimeout returns the longest timeout that a caller may set.
func (s Service) MaxTimeout() time.Duration { return s.fields.MaxTimeout }

// MaxBodyBytes returns the largest request body in bytes.
func (s Service) MaxBodyBytes() int64 { return s.fields.MaxBodyBytes }

// MaxShiftRate returns the limit on the growth of the rate of requests served outside their callers' home region, in requests/s per second.
func (s Service) MaxShiftRate() float64 { return s.fields.MaxShiftRate }

// Tenant is a client account: a group of callers whose requests are isolated from those of other tenants.
type Tenant struct {
	name     string
	digest   string
	services []string
}

// NewTenant returns a tenant; digest is the SHA-256 of its key in hexadecimal, or empty for none.
func NewTenant(name, digest string, services []string) Tenant {
	return Tenant{name, digest, slices.Clone(services)}
}

// Name returns the tenant's name.
func (t Tenant) Name() string { return t.name }

// KeyDigest returns the SHA-256 of the tenant's key in hexadecimal, or an empty string when it has none.
func (t Tenant) KeyDigest() string { return t.digest }

// Allows reports whether the tenant may use the service; a tenant without a list may use all.
func (t Tenant) Allows(service string) bool {
	return len(t.services) == 0 || slices.Contains(t.services, service)
}

// Services returns the services that the tenant may use; empty means all.
func (t Tenant) Services() []string { return slices.Clone(t.services) }

// DrainFields are the values of a planned drain.
type DrainFields struct {
	Name    string
	Targets []string // Targets lists targets to drain by name.
	Zone    string   // Zone is the name of an availability zone to drain, or empty.
	Region  string   // Region is the name of a region to drain, or empty.
	Start   time.Time
	End     time.Time // End is when the targets receive requests again; the zero value means never.
}

// Drain is a planned period in which targets receive no new requests.
type Drain struct{ fields DrainFields }

// NewDrain returns the drain with the given values.
func NewDrain(f DrainFields) Drain {
	f.Targets = slices.Clone(f.Targets)
	return Drain{f}
}

// Name returns the drain's name.
func (d Drain) Name() string { return d.fields.Name }

// Targets returns the names of the targets that the drain lists by name.
func (d Drain) Targets() []string { return slices.Clone(d.fields.Targets) }

// Zone returns the name of the availability zone to drain, or an empty string.
func (d Drain) Zone() string { return d.fields.Zone }

// Region returns the name of the region to drain, or an empty string.
func (d Drain) Region() string { return d.fields.Region }

// Start returns when the targets must stop receiving new requests.
func (d Drain) Start() time.Time { return d.fields.Start }

// End returns when the targets receive requests again; the zero time means never.
func (d Drain) End() time.Time { return d.fields.End }

// Active reports whether the drain is in force at the given time.
func (d Drain) Active(now time.Time) bool {
	return !now.Before(d.fields.Start) && (d.fields.End.IsZero() || now.Before(d.fields.End))
}
