package orders

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	confighistory "tamarackspool/internal/config/history"
	entrynode "tamarackspool/internal/entry/node"
	"tamarackspool/internal/entry/setting"
	storeclient "tamarackspool/internal/platform/store"
	"tamarackspool/internal/record/event"
	standnet "tamarackspool/internal/standin/network"
	standin "tamarackspool/internal/standin/store"
	standtarget "tamarackspool/internal/standin/target"
)

// sitePlaces are the names and locations of a site's entries; each has a target in its zone.
var sitePlaces = []standnet.Place{
	{Name: "e1", Zone: "ege-a", Region: "ege"},
	{Name: "e2", Zone: "ege-b", Region: "ege"},
	{Name: "m1", Zone: "marmara-a", Region: "marmara"},
}

// entryProcess is one run of an entry.
type entryProcess struct {
	*entrynode.Node
	callAddress, peerAddress string
	kill                     func() // kill stops the entry and waits until Run has returned.
}

// site is a set of real entries on loopback with a stand-in store, network and targets.
type site struct {
	network    *standnet.Network
	server     *standin.Server
	storeURL   string
	client     *http.Client
	targets    []*standtarget.Target
	stop       context.CancelFunc
	background sync.WaitGroup

	mu        sync.Mutex
	processes []*entryProcess // processes holds nil for an entry that is not running.
}

// newSite starts the stand-ins and the entries. They end when ctx ends at the latest; stop cancels ctx.
func newSite(ctx context.Context, stop context.CancelFunc) (*site, error) {
	s := &site{
		network: standnet.New(standnet.Settings{}), server: standin.New(standin.Settings{}), stop: stop,
		client: &http.Client{Transport: &http.Transport{}}, processes: make([]*entryProcess, len(sitePlaces)),
	}
	if err := s.startAll(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) startAll(ctx context.Context) error {
	runner, err := standin.Listen(ctx, "127.0.0.1:0", s.server)
	if err != nil {
		return err
	}
	s.storeURL = runner.URL()
	s.background.Go(func() { _ = runner.Run(ctx) }) // It ends with ctx.
	fields := document.Fields{
		Services: []document.Service{document.NewService(document.ServiceFields{
			Name: service, AtMostOnce: true, Timeout: 2 * time.Second, MaxTimeout: 5 * time.Second, MaxBodyBytes: 1 << 20, MaxShiftRate: 1000,
		})},
		Regions: []document.Region{
			document.NewRegion(document.RegionFields{Name: "ege"}), document.NewRegion(document.RegionFields{Name: "marmara"}),
		},
		Links:   []document.Link{document.NewLink("ege", "marmara", 100_000_000)},
		Tenants: []document.Tenant{document.NewTenant(tenant, "", nil)},
	}
	for _, p := range sitePlaces {
		t, err := s.startTarget(ctx, p)
		if err != nil {
			return err
		}
		fields.Targets = append(fields.Targets, t)
		fields.Zones = append(fields.Zones, document.NewZone(p.Zone, p.Region))
		fields.Entries = append(fields.Entries, document.NewEntry(document.EntryFields{Name: p.Name, Zone: p.Zone}))
	}
	data, err := codec.Encode(document.New(fields))
	if err != nil {
		return err
	}
	client := storeclient.New(s.storeURL, "", s.client)
	if _, err := confighistory.New(confighistory.Settings{Store: client}).Create(ctx, data, nil); err != nil {
		return err
	}
	for i := range sitePlaces {
		if err := s.startEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startTarget(ctx context.Context, p standnet.Place) (document.Target, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return document.Target{}, err
	}
	name := "target-" + p.Name
	t := standtarget.New(standtarget.Settings{Name: name, Slots: 8, MeanServiceTime: time.Millisecond})
	s.targets = append(s.targets, t)
	s.network.Bind(l.Addr().String(), standnet.Place{Name: name, Zone: p.Zone, Region: p.Region})
	s.background.Go(func() { _ = t.Serve(ctx, l) }) // It ends with ctx.
	return document.NewTarget(document.TargetFields{
		Name: name, Service: service, Zone: p.Zone, Slots: 8, MaxConns: 100, Address: l.Addr().(*net.TCPAddr).AddrPort(),
	}), nil
}

// startEntry starts a new process with empty memory under the entry's name.
func (s *site) startEntry(ctx context.Context, i int) error {
	const anyPort = "127.0.0.1:0"
	p := sitePlaces[i]
	checked, err := setting.New(setting.Raw{
		Name: p.Name, Zone: p.Zone, Region: p.Region, Call: anyPort, Peer: anyPort, Pass: anyPort, Admin: anyPort, Store: s.storeURL,
		Peers: s.peerAddresses(), PeerKey: "peer-secret", OperatorKey: "operator-secret-token", StopLimit: time.Minute, LookupTTL: time.Second,
		Retention: time.Hour, MaxOrderKeys: 10_000, HeaderLimit: 32 << 10, Seed: uint64(i),
	})
	if err != nil {
		return err
	}
	n, err := entrynode.New(ctx, checked, entrynode.Dependencies{Dial: s.network.Dialer(p), Events: event.New(log.NewNopLogger())})
	if err != nil {
		return fmt.Errorf("orders: entry %s: %w", p.Name, err)
	}
	started := &entryProcess{Node: n}
	call, peer, pass, admin := n.Addresses()
	started.callAddress, started.peerAddress = call, peer
	for _, address := range []string{call, peer, pass, admin} {
		s.network.Bind(address, p)
	}
	run, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	s.background.Go(func() {
		defer close(ended)
		_ = n.Run(run) // The error of a killed entry is irrelevant.
	})
	started.kill = func() { cancel(); <-ended }
	s.setProcess(i, started)
	return nil
}

func (s *site) setProcess(i int, p *entryProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[i] = p
}

// takeProcess removes and returns the process of an entry, which may be nil.
func (s *site) takeProcess(i int) *entryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[i]
	s.processes[i] = nil
	return p
}

// removeProcess removes the process of an entry and reports false when another one has replaced it.
func (s *site) removeProcess(i int, p *entryProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes[i] != p {
		return false
	}
	s.processes[i] = nil
	return true
}

// process returns the process of an entry, or nil.
func (s *site) process(i int) *entryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[i]
}

func (s *site) peerAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, p := range s.processes {
		if p != nil {
			all = append(all, p.peerAddress)
		}
	}
	return all
}

// close stops the entries first and then the stand-ins.
func (s *site) close() {
	for i := range sitePlaces {
		if p := s.takeProcess(i); p != nil {
			p.kill()
		}
	}
	s.stop()
	s.client.CloseIdleConnections()
	s.network.Close()
	s.background.Wait()
}
