package deployment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/history"
	storeclient "tamarackspool/internal/platform/store"
	"tamarackspool/internal/standin/network"
	"tamarackspool/internal/standin/roster"
	"tamarackspool/internal/standin/store"
)

// The settings of the platform's services: the request limits per second and the
// token of the key-value service, and the delay of the VM list.
const (
	storeReads  = 2000
	storeWrites = 400
	listLag     = time.Second
	storeKey    = ""
)

// cluster holds all parts of a running deployment.
type cluster struct {
	settings    Settings
	plan        plan
	network     *network.Network
	vmList      *roster.Server
	storeServer *store.Server
	storeURL    string
	vmListURL   string
	firstConfig []byte       // firstConfig is the encoded first version of the configuration.
	client      *http.Client // client sends the requests of the operators and of the demo itself.
	targetVMs   map[string]*targetVM
	logger      log.Logger
	wg          sync.WaitGroup
	mu          sync.Mutex
	entryVMs    map[string]*entryVM
	firstErr    error
}

func newCluster(s Settings, p plan) *cluster {
	rates := make(map[network.Pair]float64)
	for _, a := range p.regions {
		for _, b := range p.regions {
			if a != b && !s.hasFault(FaultFlood) {
				rates[network.Pair{From: a, To: b}] = float64(p.linkRate)
			}
		}
	}
	if s.Loopback == nil {
		s.Loopback = network.TCP{}
	}
	out := s.Log
	if out == nil {
		out = io.Discard
	}
	return &cluster{
		settings: s, plan: p,
		network: network.New(network.Settings{
			ZoneDelay: p.zoneDelay, RegionDelay: p.regionDelay, ClientDelay: p.clientDelay, Jitter: 0.3, LossRate: 0.002, RateLimits: rates, Seed: s.Seed,
			Dial: s.Loopback.Dial,
		}),
		storeServer: newStoreServer(),
		vmList:      roster.New(listLag, nil),
		client: &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return s.Loopback.Dial(ctx, netip.Addr{}, network, address)
		}}},
		targetVMs: make(map[string]*targetVM),
		entryVMs:  make(map[string]*entryVM),
		logger:    log.With(log.NewLogfmtLogger(log.NewSyncWriter(out)), "at", log.DefaultTimestampUTC),
	}
}

// runInBackground runs f in a goroutine that close waits for. The first error of
// these functions becomes the error of the run.
func (cl *cluster) runInBackground(f func() error) {
	cl.wg.Go(func() {
		if err := f(); err != nil {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			if cl.firstErr == nil {
				cl.firstErr = err
			}
		}
	})
}

// build starts the platform's services, the targets and the entries.
func (cl *cluster) build(ctx context.Context) error {
	if err := cl.startPlatform(ctx); err != nil {
		return err
	}
	var err error
	if cl.firstConfig, err = cl.startTargets(ctx); err != nil {
		return err
	}
	if err := cl.createConfig(ctx, cl.storeURL); err != nil {
		return err
	}
	for _, r := range cl.plan.regions {
		for _, z := range zoneNames(r) {
			for _, e := range cl.plan.entryNames(z) {
				if _, err := cl.startEntry(ctx, e, z); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// listen opens a listener on an unused port.
func (cl *cluster) listen(ctx context.Context) (net.Listener, error) {
	return cl.settings.Loopback.Listen(ctx, "tcp", "127.0.0.1:0")
}

// newStoreServer returns an empty key-value service.
func newStoreServer() *store.Server {
	return store.New(store.Settings{Token: storeKey, ReadsPerSecond: storeReads, WritesPerSecond: storeWrites})
}

// startStore serves a key-value service and returns its base URL.
func (cl *cluster) startStore(ctx context.Context, storeServer *store.Server) (string, error) {
	l, err := cl.listen(ctx)
	if err != nil {
		return "", fmt.Errorf("deployment: %w", err)
	}
	runner := store.NewRunner(l, storeServer)
	url := runner.URL()
	cl.runInBackground(func() error { return runner.Run(ctx) })
	cl.network.Bind(url[len("http://"):], network.Place{Name: "store", Zone: zoneNames(cl.plan.storeRegion)[0], Region: cl.plan.storeRegion})
	return url, nil
}

// createConfig stores the first version of the configuration in the store at url.
func (cl *cluster) createConfig(ctx context.Context, url string) error {
	h := history.New(history.Settings{Store: storeclient.New(url, storeKey, cl.client)})
	blocks, err := codec.EncodeBlocks(cl.plan.clientBlocks())
	if err != nil {
		return err
	}
	if _, err := h.Create(ctx, cl.firstConfig, blocks); err != nil {
		return fmt.Errorf("deployment: %w", err)
	}
	return nil
}

func (cl *cluster) startPlatform(ctx context.Context) error {
	var err error
	if cl.storeURL, err = cl.startStore(ctx, cl.storeServer); err != nil {
		return err
	}
	l, err := cl.listen(ctx)
	if err != nil {
		return fmt.Errorf("deployment: %w", err)
	}
	cl.vmListURL = "http://" + l.Addr().String()
	server := &http.Server{Handler: cl.vmList, ReadHeaderTimeout: time.Minute}
	cl.runInBackground(func() error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); ctx.Err() == nil {
			return err
		}
		return nil
	})
	return nil
}

// startTargets starts all targets and returns the configuration that names them.
func (cl *cluster) startTargets(ctx context.Context) ([]byte, error) {
	addresses := make(map[string]netip.AddrPort)
	for i, s := range cl.plan.plannedTargets() {
		region := cl.plan.regionOf(s.zone)
		l, err := cl.listen(ctx)
		if err != nil {
			return nil, fmt.Errorf("deployment: %s: %w", s.name, err)
		}
		m := newTargetVM(s, region, cl.settings.Seed+uint64(i), l)
		cl.targetVMs[s.name] = m
		address := m.listener.Addr().(*net.TCPAddr).AddrPort()
		addresses[s.name] = address
		cl.network.Bind(address.String(), network.Place{Name: s.name, Zone: s.zone, Region: region})
		cl.vmList.Set(s.name, false)
		cl.runInBackground(func() error { return m.serve(ctx) })
	}
	return cl.plan.document(addresses)
}

// allEntryVMs returns all entry VMs in no particular order.
func (cl *cluster) allEntryVMs() []*entryVM {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var all []*entryVM
	for _, s := range cl.entryVMs {
		all = append(all, s)
	}
	return all
}

func (cl *cluster) entryVM(name string) *entryVM {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.entryVMs[name]
}
