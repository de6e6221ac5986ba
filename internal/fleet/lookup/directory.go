package lookup

import (
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/request/verdict"
)

// Blocks maps a client address to its nearest availability zone; it must be safe for concurrent use.
type Blocks interface {
	Zone(client netip.Addr) (string, bool)
}

// Settings are the fixed values of a directory.
type Settings struct {
	Entry  string // Entry is the name of the local entry.
	Zone   string
	Region string
	Seed   uint64 // Seed is the seed of the random selection.
}

// Input is the state from which Update builds a snapshot.
type Input struct {
	Document  *document.Document
	Members   []member.Member
	FreeSlots []member.FreeSlots
	Leaving   map[string]bool // Leaving is the set of entries that the VM list reports as leaving.
	Blocks    Blocks          // Blocks may be nil; the home region of every client is then that of the local entry.
	// Demand is the requests/s by home region and service; a missing value is estimated from the slots of the home region.
	Demand map[string]map[string]float64
}

// Directory answers lookups. One goroutine calls Update; Answer is safe for concurrent use and takes no lock.
type Directory struct {
	settings Settings
	current  atomic.Pointer[snapshot]
}

// New returns a directory without a snapshot; Answer fails until the first Update with a document.
func New(s Settings) *Directory { return &Directory{settings: s} }

var (
	errNoConfig       = errors.New("lookup: no configuration loaded yet")
	errUnknownService = errors.New("lookup: unknown service")
	errNoEntry        = errors.New("lookup: no entry available")
	errShiftCap       = errors.New("lookup: the shift cap allows no more answers from other regions")
)

// Update builds the snapshot for subsequent answers; an input without a document is ignored.
func (d *Directory) Update(now time.Time, in Input) {
	if in.Document == nil {
		return
	}
	d.current.Store(buildSnapshot(d.settings, now, in, d.current.Load()))
}

// Answer selects entries for the query; errors are of type *verdict.Error.
func (d *Directory) Answer(q Query, now time.Time) (Answer, error) {
	s := d.current.Load()
	if s == nil {
		return Answer{}, verdict.NewError(verdict.NotRun, verdict.ReasonIsolated, http.StatusServiceUnavailable, errNoConfig)
	}
	client := q.Client.Unmap()
	zone, home := s.locateClient(client)
	byHome, ok := s.plans[q.Service]
	if !ok {
		return Answer{}, verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, http.StatusNotFound, errUnknownService)
	}
	random := newRNG(d.settings.Seed, client, now)
	p := byHome[home]
	if p == nil {
		return Answer{}, verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, http.StatusServiceUnavailable, errNoEntry)
	}
	region, ok := p.drawRegion(random.float64())
	if !ok {
		return Answer{}, p.refusalError()
	}
	a := Answer{version: s.version, home: home, region: region}
	pool := s.pools[poolKey{q.Service, region}]
	pool.fillAnswer(&a, zone, &random)
	return a, nil
}
