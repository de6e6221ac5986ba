package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// Service exchanges state with other entries; its methods are safe for concurrent use.
type Service struct {
	settings Settings
	deps     Dependencies
	count    counters
	fetches  chan fetch
	prompt   chan struct{}
	packed   packer

	mu     sync.Mutex
	table  *member.Table
	random *rand.Rand
	links  map[netip.AddrPort]*link
	wants  map[uint32]time.Time
	views  [2]view // of the own region and of the others
	turn   int
	pace   pace
	lent   []Loan
	needs  []string             // needs names the links on which this entry is short
	asked  map[string]peerNeeds // asked holds the last needs of each peer
	loans  map[string][]Loan
	alive  map[string]int // live members by region
	sureAt time.Time
	closed bool
}

// New returns a service that knows only its own entry.
func New(settings Settings, deps Dependencies) *Service {
	settings = settings.withDefaults()
	s := &Service{
		settings: settings,
		deps:     deps,
		fetches:  make(chan fetch, 1),
		prompt:   make(chan struct{}, 1),
		table:    member.NewTable(deps.Now(), settings.Self),
		random:   rand.New(rand.NewPCG(deps.Seed, deps.Seed^0x9e3779b97f4a7c15)),
		links:    make(map[netip.AddrPort]*link),
		wants:    make(map[uint32]time.Time),
		asked:    make(map[string]peerNeeds),
		loans:    make(map[string][]Loan),
		alive:    make(map[string]int),
		pace:     newPace(settings),
	}
	return s
}

// Members returns every known entry, this one and dead ones included.
func (s *Service) Members() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// Rooms returns the free slots of all entries that are not dead.
func (s *Service) Rooms() []member.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Rooms()
}

// SetRooms replaces the free slots that this entry announces.
func (s *Service) SetRooms(rooms []member.Room) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetRooms(rooms)
}

// SetLeaving announces that this entry stops.
func (s *Service) SetLeaving() { s.SetSuccessors(nil) }

// SetSuccessors announces that this entry stops and which entries answer for its tickets.
func (s *Service) SetSuccessors(successors []string) {
	s.mu.Lock()
	s.table.Leave(s.deps.Now(), successors)
	s.mu.Unlock()
	s.hurry()
}

// Successors returns the entries that answer for a stopped incarnation.
func (s *Service) Successors(incarnation [16]byte) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Successors(incarnation)
}

// Standing returns whether this entry's incarnation is the current one of its name.
func (s *Service) Standing() member.Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Standing()
}

// Confirmed reports whether a peer has confirmed this incarnation in answer to a call made at or after the given time.
func (s *Service) Confirmed(after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Standing() == member.Confirmed && !s.sureAt.IsZero() && !s.sureAt.Before(after)
}

// Watches reports whether this entry is one of those that watch the configuration in the store.
func (s *Service) Watches() bool {
	for _, name := range s.Watchers() {
		if name == s.settings.Self.Name() {
			return true
		}
	}
	return false
}

// Watchers returns the entries that watch the configuration in the store, as far as this entry knows.
func (s *Service) Watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Watchers(watchers)
}

// Interval returns the present time between two exchanges.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.interval
}

// Close closes all connections to peers.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (s *Service) selfMember() member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

func (s *Service) merge(members []member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(s.deps.Now(), members)
}

// link returns the link to the address, which exists once.
func (s *Service) link(address netip.AddrPort) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[address]
	if l == nil {
		l = newLink(s, address)
		l.closed.Store(s.closed)
		s.links[address] = l
	}
	return l
}

// hurry makes the next exchange start at once.
func (s *Service) hurry() {
	select {
	case s.prompt <- struct{}{}:
	default:
	}
}

// report logs changes of members and of whole regions.
func (s *Service) report(changes []member.Change) {
	for _, c := range changes {
		n := event.MemberAlive
		switch c.Member.State() {
		case member.Suspect:
			n = event.MemberSuspect
		case member.Dead:
			n = event.MemberDead
		case member.Leaving:
			n = event.MemberLeaving
		}
		s.deps.Events.Log(n, "member", c.Member.Name(), "before", c.Before)
	}
}

var _ interface {
	Run(ctx context.Context) error
} = (*Service)(nil)
