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

// Blocks finds the availability zone nearest to a client; it must be safe for concurrent use.
type Blocks interface {
	Zone(client netip.Addr) (string, bool)
}

// Settings are the fixed values of a directory.
type Settings struct {
	Entry  string // Entry is the name of the entry that answers.
	Zone   string
	Region string
	Seed   uint64
}

// Input is the state that answers rest on.
type Input struct {
	Document *document.Document
	Members  []member.Member
	Rooms    []member.Room
	Leaving  map[string]bool // Leaving names the entries that the VM list reports as leaving.
	Blocks   Blocks          // Blocks may be nil; then every client is at home in this entry's region.
	// Demand is the requests/s by home region and service; a missing value is estimated from the home's slots.
	Demand map[string]map[string]float64
}

// Directory answers lookups. One goroutine calls Update; Answer is safe for concurrent use and takes no lock.
type Directory struct {
	settings Settings
	current  atomic.Pointer[snapshot]
}

// New returns a directory without entries.
func New(s Settings) *Directory { return &Directory{settings: s} }

var (
	errUnready = errors.New("lookup: no configuration yet")
	errService = errors.New("lookup: no such service")
	errNone    = errors.New("lookup: no entry can be named")
	errShift   = errors.New("lookup: the shift cap allows no more answers in other regions")
)

// Update rebuilds the snapshot that answers rest on.
func (d *Directory) Update(now time.Time, in Input) {
	if in.Document == nil {
		return
	}
	d.current.Store(build(d.settings, now, in, d.current.Load()))
}

// Answer names entries for the query; an error is a *verdict.Error.
func (d *Directory) Answer(q Query, now time.Time) (Answer, error) {
	s := d.current.Load()
	if s == nil {
		return Answer{}, verdict.New(verdict.NotRun, verdict.ReasonIsolated, http.StatusServiceUnavailable, errUnready)
	}
	client := q.Client.Unmap()
	zone, home := s.locate(client)
	byHome, ok := s.services[q.Service]
	if !ok {
		return Answer{}, verdict.New(verdict.NotRun, verdict.ReasonInput, http.StatusNotFound, errService)
	}
	draw := newDraw(d.settings.Seed, client, now)
	p := byHome[home]
	if p == nil {
		return Answer{}, verdict.New(verdict.NotRun, verdict.ReasonRoom, http.StatusServiceUnavailable, errNone)
	}
	region, ok := p.region(draw.float())
	if !ok {
		return Answer{}, p.refusal()
	}
	a := Answer{version: s.version, home: home, region: region}
	group := s.pools[poolKey{q.Service, region}]
	group.fill(&a, zone, &draw)
	return a, nil
}
