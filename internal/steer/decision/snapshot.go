package decision

import (
	"time"

	"tamarackspool/internal/config/document"
)

// MaxAge is the age above which a snapshot is not used: a snapshot gets that
// old only when the process was paused.
const MaxAge = time.Second

// Fields holds the values of a snapshot.
type Fields struct {
	At       time.Time
	Region   string
	Regions  []string
	Services []Service
	Buckets  map[string]*Bucket // Buckets holds the link bucket of each other region by name.
	Total    *Gate              // Total counts the requests in flight in this region against this entry's share.
	Closed   bool               // Closed means that gates and shares must not be used.
	Status   Status
}

// Service is the part of a snapshot for one service.
type Service struct {
	Spec            document.Service
	Gates           []Slot
	Near            []Route  // Near holds the peers of this region.
	Far             []Route  // Far holds the peers of other regions.
	Meters          []*Meter // Meters holds the shift meter of each home region, in the order of Regions.
	Retries         *RetryBudget
	Reserve         int           // Reserve is the number of slots of the region share that are reserved for more important services.
	ExpectedLatency time.Duration // ExpectedLatency is the expected latency; a request with less than half of it before its deadline is refused.
	MaxWait         time.Duration // MaxWait is the longest time that a request may be queued for a slot.
}

// Slot is a target that this entry owns, with its gate.
type Slot struct {
	Target document.Target
	Gate   *Gate
	Cost   float64 // Cost is the expected latency relative to other targets.
}

// Route is a peer that owns targets of a service.
type Route struct {
	Entry  string
	Region string
	Gate   *Gate
	Bucket *Bucket // Bucket is nil within the region.
}

// Snapshot is an immutable set of routing decisions.
type Snapshot struct {
	fields   Fields
	services map[string]int
	regions  map[string]int
}

// New returns the snapshot with the given values, which the caller must not change afterwards.
func New(f Fields) *Snapshot {
	s := &Snapshot{fields: f, services: make(map[string]int, len(f.Services)), regions: make(map[string]int, len(f.Regions))}
	for i := range f.Services {
		s.services[f.Services[i].Spec.Name()] = i
	}
	for i, r := range f.Regions {
		s.regions[r] = i
	}
	return s
}

// At returns the time of the tick that created the snapshot.
func (s *Snapshot) At() time.Time { return s.fields.At }

// Owned returns the targets that this entry owns.
func (s *Snapshot) Owned() []document.Target {
	var owned []document.Target
	for i := range s.fields.Services {
		for _, g := range s.fields.Services[i].Gates {
			owned = append(owned, g.Target)
		}
	}
	return owned
}

// Capacity is the number of this entry's slots for a service at the time of the call.
type Capacity struct {
	Service string
	Free    int
	Slots   int
}

// Capacities returns the number of this entry's free and usable slots for each service.
func (s *Snapshot) Capacities() []Capacity {
	capacities := make([]Capacity, 0, len(s.fields.Services))
	for i := range s.fields.Services {
		capacities = append(capacities, s.capacity(&s.fields.Services[i]))
	}
	return capacities
}

// Capacity returns the number of this entry's free and usable slots for one service and whether the service exists.
func (s *Snapshot) Capacity(service string) (Capacity, bool) {
	i, ok := s.services[service]
	if !ok {
		return Capacity{}, false
	}
	return s.capacity(&s.fields.Services[i]), true
}

func (s *Snapshot) capacity(sv *Service) Capacity {
	c := Capacity{Service: sv.Spec.Name()}
	if s.fields.Closed {
		return c
	}
	for _, g := range sv.Gates {
		c.Free += g.Gate.Free()
		c.Slots += g.Gate.Limit()
	}
	if limit := s.fields.Total.Limit(); limit >= 0 {
		c.Free = min(c.Free, max(0, limit-sv.Reserve-s.fields.Total.InFlight()))
	}
	return c
}

// TakeRetry spends one retry of the service's budget and reports whether the budget held one.
func (s *Snapshot) TakeRetry(service string) bool {
	i, ok := s.services[service]
	return ok && s.fields.Services[i].Retries.Take()
}

// MaxWait returns the longest time that a request of the service may be queued for a slot.
func (s *Snapshot) MaxWait(service string) time.Duration {
	if i, ok := s.services[service]; ok {
		return s.fields.Services[i].MaxWait
	}
	return 0
}

// Link returns the bucket of the link to the region, or nil when there is none.
func (s *Snapshot) Link(region string) *Bucket { return s.fields.Buckets[region] }

// Status returns the routing state as shown to operators.
func (s *Snapshot) Status() Status { return s.fields.Status }
