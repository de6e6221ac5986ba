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

// The network delays of the example deployment "letters" (docs/design.md, section 1).
const (
	interZoneDelay   = 3 * time.Millisecond
	interRegionDelay = 35 * time.Millisecond
	clientDelay      = time.Millisecond
	jitter           = 0.3  // largest extra delay as a fraction of the delay
	lossRate         = 0.05 // for the fault PacketLoss
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
	storeServer *storeServer
	network     *network.Network
	seed        uint64
	wait        sync.WaitGroup
	cancel      context.CancelFunc
	client      *http.Client
	version     uint64

	mu        sync.Mutex
	processes []*process // nil for an entry that is not running
}

// process is a running process of an entry.
type process struct {
	node   *node.Node
	cancel context.CancelFunc
	done   chan struct{}
}

func newFleet(ctx context.Context, nodes int, seed uint64, loss float64) (*fleet, error) {
	server, err := newStoreServer()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		storeServer: server, seed: seed, cancel: cancel, processes: make([]*process, nodes), version: 1,
		client: &http.Client{Transport: &http.Transport{}, Timeout: propagationTimeout},
		network: network.New(network.Settings{
			ZoneDelay: interZoneDelay, RegionDelay: interRegionDelay, ClientDelay: clientDelay, Jitter: jitter, LossRate: loss, Seed: seed,
		}),
	}
	f.wait.Go(func() { _ = server.run(ctx) })
	f.network.Bind(server.listener.Addr().String(), network.Place{Name: "store", Zone: zones[0], Region: regions[0]})
	data, err := encodeConfig(nodes)
	if err == nil {
		_, err = history.New(history.Settings{Store: storeclient.New(server.url(), "", f.client)}).Create(ctx, data, nil)
	}
	for i := 0; i < nodes && err == nil; i++ {
		err = f.startEntry(ctx, i)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	<-server.accepted // discard the acceptance of the first version
	return f, nil
}

func encodeConfig(nodes int) ([]byte, error) {
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
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: entryName(i), Zone: zones[i%len(zones)]}))
	}
	return codec.Encode(document.New(f))
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// startEntry starts a process of entry i.
func (f *fleet) startEntry(ctx context.Context, i int) error {
	const anyPort = "127.0.0.1:0"
	place := network.Place{Name: entryName(i), Zone: zones[i%len(zones)], Region: regions[i%len(regions)]}
	checked, err := setting.New(setting.Raw{
		Name: place.Name, Zone: place.Zone, Region: place.Region, Call: anyPort, Peer: anyPort, Pass: anyPort, Admin: anyPort,
		Store: f.storeServer.url(), Peers: f.peerAddresses(i), PeerKey: peerKey, OperatorKey: operatorKey, StopLimit: time.Minute,
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
	s := &process{n, cancel, make(chan struct{})}
	f.wait.Go(func() {
		defer close(s.done)
		_ = n.Run(run) // An entry that exits early shows up as missed versions.
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[i] = s
	return nil
}

// killEntry stops the process of entry i, to simulate the loss of its VM.
func (f *fleet) killEntry(i int) {
	f.mu.Lock()
	s := f.processes[i]
	f.processes[i] = nil
	f.mu.Unlock()
	s.cancel()
	<-s.done
}

// peerAddresses returns the peer addresses of the other running entries.
func (f *fleet) peerAddresses(i int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for j, s := range f.processes {
		if s != nil && j != i {
			_, peer, _, _ := s.node.Addresses()
			all = append(all, peer)
		}
	}
	return all
}

// heldVersion returns the configuration version of entry i; 0 means that the entry is not running or has none.
func (f *fleet) heldVersion(i int) uint64 {
	f.mu.Lock()
	s := f.processes[i]
	f.mu.Unlock()
	if s == nil {
		return 0
	}
	return s.node.Version()
}

// close stops the entries, the store and the network, and waits until they have ended.
func (f *fleet) close() {
	f.mu.Lock()
	for _, s := range f.processes {
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
