package propagation

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/entry/setting"
	storeclient "tamarackspool/internal/platform/store"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/standin/network"
)

// The delays of the deployment letters (docs/design.md, section 1).
const (
	zoneDelay   = 3 * time.Millisecond
	regionDelay = 35 * time.Millisecond
	clientDelay = time.Millisecond
	jitter      = 0.3
	lossRate    = 0.05
)

const (
	peerKey     = "measure-peer-key"
	operatorKey = "measure-operator-token"
)

var (
	regions = []string{"marmara", "ege", "anadolu"}
	zones   = []string{"marmara-a", "ege-a", "anadolu-a", "marmara-b", "ege-b", "anadolu-b"}
)

// fleet is a set of running entries with their store.
type fleet struct {
	platform *platform
	network  *network.Network
	seed     uint64
	wait     sync.WaitGroup
	cancel   context.CancelFunc
	client   *http.Client
	version  uint64

	mu    sync.Mutex
	sites []*site // nil stands for a dead entry
}

// site is a running process of an entry.
type site struct {
	node   *node.Node
	cancel context.CancelFunc
	done   chan struct{}
}

func newFleet(ctx context.Context, nodes int, seed uint64, loss float64) (*fleet, error) {
	p, err := newPlatform()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		platform: p, seed: seed, cancel: cancel, sites: make([]*site, nodes), version: 1,
		client: &http.Client{Transport: &http.Transport{}, Timeout: patience},
		network: network.New(network.Settings{
			ZoneDelay: zoneDelay, RegionDelay: regionDelay, ClientDelay: clientDelay, Jitter: jitter, LossRate: loss, Seed: seed,
		}),
	}
	f.wait.Go(func() { _ = p.run(ctx) })
	f.network.Bind(p.listener.Addr().String(), network.Place{Name: "store", Zone: zones[0], Region: regions[0]})
	data, err := configuration(nodes)
	if err == nil {
		_, err = history.New(history.Settings{Store: storeclient.New(p.url(), "", f.client)}).Create(ctx, data, nil)
	}
	for i := 0; i < nodes && err == nil; i++ {
		err = f.boot(ctx, i)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	<-p.accepted // the first version
	return f, nil
}

func configuration(nodes int) ([]byte, error) {
	f := document.Fields{
		Version: 1,
		Services: []document.Service{document.NewService(document.ServiceFields{
			Name: "status", Timeout: time.Second, MaxTimeout: 10 * time.Second, MaxBodyBytes: 1 << 16, MaxShiftRate: 40,
		})},
		Tenants: []document.Tenant{document.NewTenant("parents", "", nil)},
	}
	for i, r := range regions {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r}))
		for _, other := range regions[:i] {
			f.Links = append(f.Links, document.NewLink(other, r, 500_000_000))
		}
	}
	for i, z := range zones {
		f.Zones = append(f.Zones, document.NewZone(z, regions[i%len(regions)]))
	}
	for i := range nodes {
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: name(i), Zone: zones[i%len(zones)]}))
	}
	return codec.Encode(document.New(f))
}

func name(i int) string { return fmt.Sprintf("entry-%d", i) }

// boot starts a process of entry i.
func (f *fleet) boot(ctx context.Context, i int) error {
	const any = "127.0.0.1:0"
	place := network.Place{Name: name(i), Zone: zones[i%len(zones)], Region: regions[i%len(regions)]}
	checked, err := setting.New(setting.Raw{
		Name: place.Name, Zone: place.Zone, Region: place.Region, Call: any, Peer: any, Pass: any, Admin: any,
		Store: f.platform.url(), Peers: f.peers(i), PeerKey: peerKey, OperatorKey: operatorKey, StopLimit: time.Minute,
		LookupTTL: time.Second, Retention: time.Hour, MaxOrderKeys: 1000, HeaderLimit: 32 << 10, Seed: f.seed + uint64(i),
	})
	if err != nil {
		return err
	}
	n, err := node.New(ctx, checked, node.Dependencies{Dial: f.network.Dialer(place), Events: event.New(log.NewNopLogger())})
	if err != nil {
		return err
	}
	call, peer, pass, _ := n.Addresses()
	for _, a := range []string{call, peer, pass} {
		f.network.Bind(a, place)
	}
	run, cancel := context.WithCancel(ctx)
	s := &site{n, cancel, make(chan struct{})}
	f.wait.Go(func() {
		defer close(s.done)
		_ = n.Run(run) // An entry that ends early shows as one that misses versions.
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sites[i] = s
	return nil
}

// kill ends the process of entry i, as the loss of its VM does.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	s := f.sites[i]
	f.sites[i] = nil
	f.mu.Unlock()
	s.cancel()
	<-s.done
}

// peers returns the control addresses of the other running entries.
func (f *fleet) peers(i int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for j, s := range f.sites {
		if s != nil && j != i {
			_, peer, _, _ := s.node.Addresses()
			all = append(all, peer)
		}
	}
	return all
}

// held returns the version of entry i; 0 means that it is dead or has none.
func (f *fleet) held(i int) uint64 {
	f.mu.Lock()
	s := f.sites[i]
	f.mu.Unlock()
	if s == nil {
		return 0
	}
	return s.node.Version()
}

// close stops everything and waits for it.
func (f *fleet) close() {
	f.mu.Lock()
	for _, s := range f.sites {
		if s != nil {
			s.cancel()
		}
	}
	f.mu.Unlock()
	f.cancel()
	f.wait.Wait()
	f.network.Close()
	f.client.CloseIdleConnections()
}
