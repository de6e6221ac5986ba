package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/entry/setting"
	"tamarackspool/internal/record/event"
)

type entryCommand struct {
	Name      string        `help:"Name of this entry in the configuration." required:""`
	Zone      string        `help:"Availability zone of this entry." required:""`
	Region    string        `help:"Region of this entry." required:""`
	Call      string        `help:"Address to listen on for callers." default:"127.0.0.1:0"`
	Peer      string        `help:"Address to listen on for control messages of entries." default:"127.0.0.1:0"`
	Pass      string        `help:"Address to listen on for relayed requests." default:"127.0.0.1:0"`
	Admin     string        `help:"Address to listen on for operators." default:"127.0.0.1:0"`
	Store     string        `help:"Base address of the key-value service." placeholder:"http://IP:PORT"`
	StoreKey  string        `help:"Token of the key-value service."`
	Roster    string        `help:"Base address of the VM list." placeholder:"http://IP:PORT"`
	Peers     []string      `help:"Control addresses of other entries, asked at the start." placeholder:"IP:PORT"`
	PeerKey   string        `help:"Token that entries share." required:""`
	OpKey     string        `name:"operator-key" help:"Token of the operators." required:""`
	Cert      string        `help:"File with the certificate chain (PEM) of the callers' and operators' ports; needs --cert-key."`
	CertKey   string        `help:"File with the key (PEM) of the certificate; needs --cert."`
	StopLimit time.Duration `help:"Longest time of a graceful shutdown." default:"10m"`
	TTL       time.Duration `name:"lookup-ttl" help:"How long callers keep a look-up." default:"10s"`
	Retention time.Duration `help:"How long caller-chosen keys are remembered." default:"24h"`
	Keys      int           `help:"Most order keys held in memory." default:"200000"`
	Header    int           `name:"header-limit" help:"Largest accepted request header in bytes." default:"32768"`
	Seed      uint64        `help:"Seed of random choices; 0 takes a random one." default:"0"`
}

// Run runs the entry. The first signal starts a graceful shutdown; a second one stops the entry at once.
func (c *entryCommand) Run(ctx context.Context, s *streams) error {
	checked, err := setting.New(setting.Raw{
		Name: c.Name, Zone: c.Zone, Region: c.Region, Call: c.Call, Peer: c.Peer, Pass: c.Pass, Admin: c.Admin,
		Store: c.Store, Roster: c.Roster, Peers: c.Peers, PeerKey: c.PeerKey, OperatorKey: c.OpKey, StoreKey: c.StoreKey, Cert: c.Cert, CertKey: c.CertKey,
		StopLimit: c.StopLimit, LookupTTL: c.TTL, Retention: c.Retention, MaxOrderKeys: c.Keys, HeaderLimit: c.Header, Seed: c.seed(),
	})
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	events := event.New(log.With(log.NewLogfmtLogger(log.NewSyncWriter(s.stderr)), "at", log.DefaultTimestampUTC))
	n, err := node.New(ctx, checked, node.Dependencies{Events: events})
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	call, peer, pass, admin := n.Addresses()
	fmt.Fprintf(s.stdout, "call %s peer %s pass %s admin %s\n", call, peer, pass, admin)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-runCtx.Done():
			return
		case <-ctx.Done():
		}
		secondSignal, release := signal.NotifyContext(runCtx, os.Interrupt, syscall.SIGTERM)
		defer release()
		n.Drain(secondSignal)
		cancel()
	}()
	err = n.Run(runCtx)
	cancel()
	<-stopped
	return err
}

// seed returns the --seed value; 0 is replaced by one taken from the time, so that entries differ.
func (c *entryCommand) seed() uint64 {
	if c.Seed != 0 {
		return c.Seed
	}
	return uint64(time.Now().UnixNano())
}
