package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/entry/setting"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/standin/network"
)

// The tokens of the demo's processes.
const (
	peerKey     = "demo-peer-key"
	operatorKey = "demo-operator-token"
)

// ttl is how long the demo's callers keep a look-up: short, so that a run of
// 20 s shows several of them.
const ttl = 2 * time.Second

// site is one entry VM with the process that runs on it at the moment.
type site struct {
	name, zone, region string
	node               *node.Node
	cancel             context.CancelFunc
	pause              *pause
	done               chan struct{}
	err                error
}

// boot starts a new process of the entry.
func (w *world) boot(ctx context.Context, name, zone string) (*site, error) {
	return w.bootFrom(ctx, name, zone, w.storeURL, w.peerAddresses(name))
}

// bootFrom starts a new process of the entry that knows the given store and peers.
func (w *world) bootFrom(ctx context.Context, name, zone, store string, peers []string) (*site, error) {
	const any = "127.0.0.1:0"
	region := w.plan.regionOf(zone)
	checked, err := setting.New(setting.Raw{
		Name: name, Zone: zone, Region: region, Call: any, Peer: any, Pass: any, Admin: any,
		Store: store, Roster: w.rosterURL, Peers: peers,
		PeerKey: peerKey, OperatorKey: operatorKey, StopLimit: time.Minute, LookupTTL: ttl,
		Retention: time.Hour, MaxOrderKeys: 100_000, HeaderLimit: 32 << 10, Seed: w.settings.Seed,
	})
	if err != nil {
		return nil, err
	}
	place := network.Place{Name: name, Zone: zone, Region: region}
	held := newPause()
	n, err := node.New(ctx, checked, node.Dependencies{
		Dial: w.network.Dialer(place), Listen: w.settings.Loopback.Listen, Events: event.New(log.With(w.logger, "by", name)), BeforeTick: held.hold,
	})
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	call, peer, pass, _ := n.Addresses()
	for _, a := range []string{call, peer, pass} {
		w.network.Bind(a, place)
	}
	w.list.Set(name, false)
	run, cancel := context.WithCancel(ctx)
	s := &site{name: name, zone: zone, region: region, node: n, cancel: cancel, pause: held, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = n.Run(run)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sites[name] = s
	return s, nil
}

// kill ends the process at once, as the loss of its VM does.
func (s *site) kill() {
	s.cancel()
	<-s.done
}

// peerAddresses returns the control addresses of the other running entries.
func (w *world) peerAddresses(name string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for _, s := range w.sites {
		if s.name != name {
			_, peer, _, _ := s.node.Addresses()
			all = append(all, peer)
		}
	}
	return all
}

// running reports whether the process has not ended.
func (s *site) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}
