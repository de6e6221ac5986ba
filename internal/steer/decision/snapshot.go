package decision

import (
	"time"

	"tamarackspool/internal/config/document"
)

// Staleness is the age above which a snapshot is not used, because its age
// means that the process was paused.
const Staleness = time.Second

// Fields are the values of a snapshot.
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

// Service is what a snapshot knows about one service.
type Service struct {
	Spec    document.Service
	Gates   []Slot
	Near    []Route  // Near holds the peers of this region.
	Far     []Route  // Far holds the peers of other regions.
	Meters  []*Meter // Meters holds the shift meter of each home region, in the order of Regions.
	Retries *Retries
	Reserve int           // Reserve is the part of the region share that the service may not use.
	Expect  time.Duration // Expect is the usual time of an answer; a request with less time left is refused.
	Bound   time.Duration // Bound is the longest time that a request may wait for a slot.
}

// Slot is a target of this entry and its gate.
type Slot struct {
	Target document.Target
	Gate   *Gate
	Cost   float64 // Cost is the expected time of an answer relative to other targets.
}

// Route is a peer that owns targets of a service.
type Route struct {
	Entry  string
	Region string
	Gate   *Gate
	Bucket *Bucket // Bucket is nil within the region.
}

// Snapshot is an immutable set of decisions.
type Snapshot struct {
	f        Fields
	services map[string]int
	regions  map[string]int
}

// New returns the snapshot with the given values, which the caller must not change afterwards.
func New(f Fields) *Snapshot {
	s := &Snapshot{f: f, services: make(map[string]int, len(f.Services)), regions: make(map[string]int, len(f.Regions))}
	for i := range f.Services {
		s.services[f.Services[i].Spec.Name()] = i
	}
	for i, r := range f.Regions {
		s.regions[r] = i
	}
	return s
}

// At returns the time of the tick that made the snapshot.
func (s *Snapshot) At() time.Time { return s.f.At }

// Owned returns the targets that this entry owns.
func (s *Snapshot) Owned() []document.Target {
	var owned []document.Target
	for i := range s.f.Services {
		for _, g := range s.f.Services[i].Gates {
			owned = append(owned, g.Target)
		}
	}
	return owned
}

// Room is this entry's count of its slots of a service at the time of the call.
type Room struct {
	Service string
	Free    int
	Slots   int
}

// Rooms returns the free and open slots of each service that this entry owns.
func (s *Snapshot) Rooms() []Room {
	rooms := make([]Room, 0, len(s.f.Services))
	for i := range s.f.Services {
		rooms = append(rooms, s.room(&s.f.Services[i]))
	}
	return rooms
}

// Room returns the free and open slots of one service and whether the service exists.
func (s *Snapshot) Room(service string) (Room, bool) {
	i, ok := s.services[service]
	if !ok {
		return Room{}, false
	}
	return s.room(&s.f.Services[i]), true
}

func (s *Snapshot) room(sv *Service) Room {
	r := Room{Service: sv.Spec.Name()}
	if s.f.Closed {
		return r
	}
	for _, g := range sv.Gates {
		r.Free += g.Gate.Free()
		r.Slots += g.Gate.Limit()
	}
	if limit := s.f.Total.Limit(); limit >= 0 {
		r.Free = min(r.Free, max(0, limit-sv.Reserve-s.f.Total.InFlight()))
	}
	return r
}

// Retry reports whether the service's budget allows another retry, and uses it.
func (s *Snapshot) Retry(service string) bool {
	i, ok := s.services[service]
	return ok && s.f.Services[i].Retries.Take()
}

// Patience returns the longest time that a request of the service may wait for a slot.
func (s *Snapshot) Patience(service string) time.Duration {
	if i, ok := s.services[service]; ok {
		return s.f.Services[i].Bound
	}
	return 0
}

// Link returns the bucket of the link to the region, or nil when there is none.
func (s *Snapshot) Link(region string) *Bucket { return s.f.Buckets[region] }

// Status returns what operators see.
func (s *Snapshot) Status() Status { return s.f.Status }
