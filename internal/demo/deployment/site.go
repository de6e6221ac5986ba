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

// The tokens with which the demo's entries and operators authenticate.
const (
	peerKey     = "demo-peer-key"
	operatorKey = "demo-operator-token"
)

// ttl is the time to live of look-ups cached by the demo's callers. It is short, so
// that a run of 20 s includes several look-ups.
const ttl = 2 * time.Second

// entryVM is an entry VM with its current process.
type entryVM struct {
	name, zone, region string
	node               *node.Node
	cancel             context.CancelFunc
	pause              *pause
	done               chan struct{}
	err                error
}

// startEntry starts a new process of the entry.
func (cl *cluster) startEntry(ctx context.Context, name, zone string) (*entryVM, error) {
	return cl.startEntryWith(ctx, name, zone, cl.storeURL, cl.peerAddresses(name))
}

// startEntryWith starts a new process of the entry with the given store and peers.
func (cl *cluster) startEntryWith(ctx context.Context, name, zone, store string, peers []string) (*entryVM, error) {
	const unusedPort = "127.0.0.1:0"
	region := cl.plan.regionOf(zone)
	checked, err := setting.New(setting.Raw{
		Name: name, Zone: zone, Region: region, Call: unusedPort, Peer: unusedPort, Pass: unusedPort, Admin: unusedPort,
		Store: store, Roster: cl.vmListURL, Peers: peers,
		PeerKey: peerKey, OperatorKey: operatorKey, StopLimit: time.Minute, LookupTTL: ttl,
		Retention: time.Hour, MaxOrderKeys: 100_000, HeaderLimit: 32 << 10, Seed: cl.settings.Seed,
	})
	if err != nil {
		return nil, err
	}
	place := network.Place{Name: name, Zone: zone, Region: region}
	entryPause := newPause()
	n, err := node.New(ctx, checked, node.Dependencies{
		Dial: cl.network.Dialer(place), Listen: cl.settings.Loopback.Listen, Events: event.New(log.With(cl.logger, "by", name)), BeforeTick: entryPause.waitWhilePaused,
	})
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	call, peer, pass, _ := n.Addresses()
	for _, a := range []string{call, peer, pass} {
		cl.network.Bind(a, place)
	}
	cl.vmList.Set(name, false)
	run, cancel := context.WithCancel(ctx)
	s := &entryVM{name: name, zone: zone, region: region, node: n, cancel: cancel, pause: entryPause, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = n.Run(run)
	}()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.entryVMs[name] = s
	return s, nil
}

// kill ends the process without a planned stop, as the loss of its VM does.
func (s *entryVM) kill() {
	s.cancel()
	<-s.done
}

// peerAddresses returns the control addresses of the other running entries.
func (cl *cluster) peerAddresses(name string) []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var all []string
	for _, s := range cl.entryVMs {
		if s.name != name {
			_, peer, _, _ := s.node.Addresses()
			all = append(all, peer)
		}
	}
	return all
}

// running reports whether the process has not ended.
func (s *entryVM) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}
