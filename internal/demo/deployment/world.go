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

// The limits of the platform's key-value service.
const (
	storeReads  = 2000
	storeWrites = 400
	listLag     = time.Second
	storeKey    = ""
)

// world holds all parts of a running deployment.
type world struct {
	settings  Settings
	plan      plan
	network   *network.Network
	list      *roster.Server
	values    *store.Server
	storeURL  string
	rosterURL string
	first     []byte       // first is the first version of the configuration.
	client    *http.Client // client carries the operators' and the demo's own calls.
	targetVMs map[string]*targetVM
	logger    log.Logger
	wg        sync.WaitGroup
	mu        sync.Mutex
	sites     map[string]*site
	failed    error
}

func newWorld(s Settings, p plan) *world {
	rates := make(map[network.Pair]float64)
	for _, a := range p.regions {
		for _, b := range p.regions {
			if a != b && !s.has(FaultFlood) {
				rates[network.Pair{From: a, To: b}] = float64(p.rate)
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
	return &world{
		settings: s, plan: p,
		network: network.New(network.Settings{
			Zones: p.zones, Regions: p.between, Clients: p.clients, Jitter: 0.3, Loss: 0.002, Rates: rates, Seed: s.Seed,
			Dial: s.Loopback.Dial,
		}),
		values: newValues(),
		list:   roster.New(listLag, nil),
		client: &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return s.Loopback.Dial(ctx, netip.Addr{}, network, address)
		}}},
		targetVMs: make(map[string]*targetVM),
		sites:     make(map[string]*site),
		logger:    log.With(log.NewLogfmtLogger(log.NewSyncWriter(out)), "at", log.DefaultTimestampUTC),
	}
}

// own runs f until it returns; its error ends up in the result of the run.
func (w *world) own(f func() error) {
	w.wg.Go(func() {
		if err := f(); err != nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.failed == nil {
				w.failed = err
			}
		}
	})
}

// build starts the platform, the targets and the entries.
func (w *world) build(ctx context.Context) error {
	if err := w.startPlatform(ctx); err != nil {
		return err
	}
	var err error
	if w.first, err = w.startTargets(ctx); err != nil {
		return err
	}
	if err := w.commit(ctx, w.storeURL); err != nil {
		return err
	}
	for _, r := range w.plan.regions {
		for _, z := range zoneNames(r) {
			for _, e := range w.plan.entryNames(z) {
				if _, err := w.boot(ctx, e, z); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// listen opens a listener on any port.
func (w *world) listen(ctx context.Context) (net.Listener, error) {
	return w.settings.Loopback.Listen(ctx, "tcp", "127.0.0.1:0")
}

// newValues returns an empty key-value service.
func newValues() *store.Server {
	return store.New(store.Settings{Key: storeKey, Reads: storeReads, Writes: storeWrites})
}

// startStore serves a key-value service and returns its base address.
func (w *world) startStore(ctx context.Context, values *store.Server) (string, error) {
	l, err := w.listen(ctx)
	if err != nil {
		return "", fmt.Errorf("deployment: %w", err)
	}
	runner := store.NewRunner(l, values)
	url := runner.URL()
	w.own(func() error { return runner.Run(ctx) })
	w.network.Bind(url[len("http://"):], network.Place{Name: "store", Zone: zoneNames(w.plan.store)[0], Region: w.plan.store})
	return url, nil
}

// commit stores the first version of the configuration.
func (w *world) commit(ctx context.Context, url string) error {
	h := history.New(history.Settings{Store: storeclient.New(url, storeKey, w.client)})
	blocks, err := codec.EncodeBlocks(w.plan.clientBlocks())
	if err != nil {
		return err
	}
	if _, err := h.Create(ctx, w.first, blocks); err != nil {
		return fmt.Errorf("deployment: %w", err)
	}
	return nil
}

func (w *world) startPlatform(ctx context.Context) error {
	var err error
	if w.storeURL, err = w.startStore(ctx, w.values); err != nil {
		return err
	}
	l, err := w.listen(ctx)
	if err != nil {
		return fmt.Errorf("deployment: %w", err)
	}
	w.rosterURL = "http://" + l.Addr().String()
	server := &http.Server{Handler: w.list, ReadHeaderTimeout: time.Minute}
	w.own(func() error {
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
func (w *world) startTargets(ctx context.Context) ([]byte, error) {
	addresses := make(map[string]netip.AddrPort)
	for i, s := range w.plan.spots() {
		region := w.plan.regionOf(s.zone)
		l, err := w.listen(ctx)
		if err != nil {
			return nil, fmt.Errorf("deployment: %s: %w", s.name, err)
		}
		m := newTargetVM(s, region, w.settings.Seed+uint64(i), l)
		w.targetVMs[s.name] = m
		address := m.listen.Addr().(*net.TCPAddr).AddrPort()
		addresses[s.name] = address
		w.network.Bind(address.String(), network.Place{Name: s.name, Zone: s.zone, Region: region})
		w.list.Set(s.name, false)
		w.own(func() error { return m.serve(ctx) })
	}
	return w.plan.document(addresses)
}

// all returns the present sites.
func (w *world) all() []*site {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*site
	for _, s := range w.sites {
		all = append(all, s)
	}
	return all
}

func (w *world) site(name string) *site {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sites[name]
}
