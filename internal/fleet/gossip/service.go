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
	settings    Settings
	deps        Dependencies
	counters    counters
	fetches     chan configFetch
	exchangeNow chan struct{} // starts the next round immediately
	compressor  configCompressor

	mu            sync.Mutex
	table         *member.Table
	random        *rand.Rand
	peerConns     map[netip.AddrPort]*peerConn
	wantedRecords map[uint32]time.Time // time of the last request by digest, zero before the first one
	views         [2]view              // by scope: ownRegion, otherRegion
	rounds        int
	pacer         pacer
	lentLoans     []Loan
	neededLinks   []string             // neededLinks names the links for which this entry requests loans
	peerNeeds     map[string]peerNeeds // peerNeeds holds the last needs by peer
	loansByLender map[string][]Loan    // loansByLender holds the loans granted to this entry
	liveByRegion  map[string]int       // live members by region
	confirmedAt   time.Time            // send time of the latest request whose answer confirmed the incarnation
	closed        bool
}

// New returns a service whose membership contains only the local entry.
func New(settings Settings, deps Dependencies) *Service {
	settings = settings.withDefaults()
	s := &Service{
		settings:      settings,
		deps:          deps,
		fetches:       make(chan configFetch, 1),
		exchangeNow:   make(chan struct{}, 1),
		table:         member.NewTable(deps.Now(), settings.Self),
		random:        rand.New(rand.NewPCG(deps.Seed, deps.Seed^0x9e3779b97f4a7c15)),
		peerConns:     make(map[netip.AddrPort]*peerConn),
		wantedRecords: make(map[uint32]time.Time),
		peerNeeds:     make(map[string]peerNeeds),
		loansByLender: make(map[string][]Loan),
		liveByRegion:  make(map[string]int),
		pacer:         newPacer(settings),
	}
	return s
}

// Members returns all known entries, including the local one and dead ones.
func (s *Service) Members() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// FreeSlots returns the free slots of all entries that are not dead.
func (s *Service) FreeSlots() []member.FreeSlots {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.FreeSlots()
}

// SetFreeSlots replaces the free slots that the local entry announces.
func (s *Service) SetFreeSlots(slots []member.FreeSlots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetFreeSlots(slots)
}

// AnnounceShutdown announces the shutdown of the local entry.
func (s *Service) AnnounceShutdown() { s.SetSuccessors(nil) }

// SetSuccessors announces the shutdown of the local entry and the successors that hold its tickets.
func (s *Service) SetSuccessors(successors []string) {
	s.mu.Lock()
	s.table.AnnounceShutdown(s.deps.Now(), successors)
	s.mu.Unlock()
	s.triggerExchange()
}

// Successors returns the entries that hold the tickets of a stopped incarnation, or nil if they are unknown.
func (s *Service) Successors(incarnation [16]byte) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Successors(incarnation)
}

// IncarnationState returns whether the local entry's incarnation is the current one of its name.
func (s *Service) IncarnationState() member.IncarnationState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IncarnationState()
}

// ConfirmedSince reports whether a peer has confirmed the local incarnation in the answer to a request sent at or after the
// given time.
func (s *Service) ConfirmedSince(after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.IncarnationState() == member.Confirmed && !s.confirmedAt.IsZero() && !s.confirmedAt.Before(after)
}

// IsWatcher reports whether the local entry is one of those that watch the configuration in the store.
func (s *Service) IsWatcher() bool {
	for _, name := range s.Watchers() {
		if name == s.settings.Self.Name() {
			return true
		}
	}
	return false
}

// Watchers returns the names of the entries that watch the configuration in the store, according to the local membership.
func (s *Service) Watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Watchers(watcherCount)
}

// Interval returns the current time between two rounds of exchanges.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.interval
}

// Close closes all connections to peers.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*peerConn, 0, len(s.peerConns))
	for _, conn := range s.peerConns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

func (s *Service) selfMember() member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

func (s *Service) mergeMembers(members []member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(s.deps.Now(), members)
}

// peerConn returns the connection to the address; there is one for each address.
func (s *Service) peerConn(address netip.AddrPort) *peerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.peerConns[address]
	if conn == nil {
		conn = newPeerConn(s, address)
		conn.closed.Store(s.closed)
		s.peerConns[address] = conn
	}
	return conn
}

// triggerExchange starts the next round of exchanges immediately.
func (s *Service) triggerExchange() {
	select {
	case s.exchangeNow <- struct{}{}:
	default:
	}
}

// logMemberChanges logs the state changes of members.
func (s *Service) logMemberChanges(changes []member.StateChange) {
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
		s.deps.Events.Log(n, "member", c.Member.Name(), "before", c.Previous)
	}
}

var _ interface {
	Run(ctx context.Context) error
} = (*Service)(nil)
