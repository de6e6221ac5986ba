package edge

import (
	"time"

	"tamarackspool/internal/site/book"
	"tamarackspool/internal/site/census"
	"tamarackspool/internal/site/target"
	"tamarackspool/internal/steer/health"
	"tamarackspool/internal/steer/notice"
	"tamarackspool/internal/steer/pace"
	"tamarackspool/internal/steer/placement"
	"tamarackspool/internal/steer/quota"
)

// targetState is a target with what this entry has observed of it. It is replaced when
// the registration changes; gauge, pacer and notice are kept.
type targetState struct {
	target target.Target
	hash   uint64
	gauge  *health.Tracker
	pacer  *pace.Pacer
	notice *notice.Notice
	// coldUntil is when the target is expected to be warm, by its own report or after an evacuation of its zone.
	coldUntil time.Time
	confirmed time.Time // confirmed is when a heartbeat of this incarnation was last read.
	revision  uint64
	// usableUntil is until when the target may be used without a registration; zero while it has one.
	usableUntil time.Time
}

// isLeaving reports whether the target is leaving, by its registration or by an answer.
func (s *targetState) isLeaving() bool { return s.target.Leaving() || s.notice.Leaving() }

// serviceTargets holds the targets of a service and their weights for objects of
// callers in this entry's region.
type serviceTargets struct {
	targets        []*targetState
	requestWeights []float64 // requestWeights apply to requests that cost few bytes on the links between regions.
	uploadWeights  []float64 // uploadWeights apply to uploads.
}

// The load factors for placement.Weights: objects stay in their region as long as its targets
// hold at most that many times their even share. Uploads are a small
// part of the work and most of the bytes, so more of them stay in the region.
const (
	requestLoadFactor = 0.8
	uploadLoadFactor  = 3
)

func newServiceTargets(targets []*targetState, evacuatedZones map[string]bool, region string, regions int) *serviceTargets {
	places := make([]placement.Place, len(targets))
	for i, s := range targets {
		places[i].Region = s.target.Region()
		if !s.isLeaving() && !evacuatedZones[s.target.Zone()] {
			places[i].Slots = s.target.Slots()
		}
	}
	return &serviceTargets{
		targets:        targets,
		requestWeights: placement.Weights(places, region, regions, requestLoadFactor),
		uploadWeights:  placement.Weights(places, region, regions, uploadLoadFactor),
	}
}

// view is the snapshot that the request path reads; it is immutable except for gauges, pacers and notices.
type view struct {
	book            *book.Book                 // book is nil until a configuration is known.
	services        map[string]*serviceTargets // services is keyed by service name.
	evacuatedZones  map[string]bool            // evacuatedZones holds the availability zones that get no requests.
	entries         []census.Entry
	formerEntries   []census.Entry // formerEntries may still be running without a registration.
	registeredNames []string       // registeredNames are the names of the entries registered in the store, in order.
	registeredSince time.Time      // registeredSince is since when this entry is among them; zero while it is not.
	activeHashes    []uint64       // activeHashes are the hashes of activeNames, in the same order.
	activeNames     []string       // activeNames are the names of registered entries that are not leaving.
	revision        uint64
	reader          census.Reader // reader is the entry that reads the store for this one.
	hasReader       bool          // hasReader is false when this entry reads the store itself.
	unseenEnds      uint64        // unseenEnds counts the ends of entries' registrations that this entry had not seen.
	roster          quota.Roster  // roster holds the entries that may own accounts.
}

// paceDelay is how long an entry's own registration must have been visible before the entry paces
// targets: by then it knows the entries registered before it, and those that paced the targets know of it.
const paceDelay = time.Second

// isPacer reports whether this entry is the one that may send to a cold target and
// checks its health. Rendezvous hashing over the registered entries chooses it. An unregistered
// entry must not pace targets: the others don't count it, so several entries would pace the same target at once.
func (v *view) isPacer(self string, s *targetState, now time.Time) bool {
	if v.registeredSince.IsZero() || now.Sub(v.registeredSince) < paceDelay {
		return false
	}
	i := placement.Best(placement.Key(s.hash), len(v.activeHashes), func(i int) uint64 { return v.activeHashes[i] }, func(int) float64 { return 1 })
	return i >= 0 && v.activeNames[i] == self
}
