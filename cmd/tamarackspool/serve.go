package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/history"
	storeclient "tamarackspool/internal/platform/store"
	"tamarackspool/internal/standin/roster"
	"tamarackspool/internal/standin/store"
	"tamarackspool/internal/standin/target"
)

type storeCommand struct {
	Listen netip.AddrPort `help:"Address of the key-value service." default:"127.0.0.1:9000"`
	Roster netip.AddrPort `help:"Address of the VM list." default:"127.0.0.1:9001"`
	Config string         `help:"File with the configuration to begin with." required:""`
	Lag    time.Duration  `help:"How old the VM list is." default:"1s"`
	Key    string         `name:"store-key" help:"Token that clients send; empty accepts all."`
	Reads  int            `help:"Most reads per second; 0 means no limit." default:"2000"`
	Writes int            `help:"Most writes per second; 0 means no limit." default:"400"`
}

// Run runs the stand-in until a signal stops it.
func (c *storeCommand) Run(ctx context.Context, s *streams) error {
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return exitErrorf(exitUsage, "--config: %v", err)
	}
	d, err := codec.Decode(data)
	if err != nil {
		return exitErrorf(exitUsage, "--config: %v", err)
	}
	runner, err := store.Listen(ctx, c.Listen.String(), store.New(store.Settings{Token: c.Key, ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes}))
	if err != nil {
		return exitErrorf(exitUsage, "--listen: %v", err)
	}
	vms := roster.New(c.Lag, nil)
	for _, t := range d.Targets() {
		vms.Set(t.Name(), false)
	}
	for _, e := range d.Entries() {
		vms.Set(e.Name(), false)
	}
	l, err := net.Listen("tcp", c.Roster.String())
	if err != nil {
		return exitErrorf(exitUsage, "--roster: %v", err)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runner.Run(ctx) })
	g.Go(func() error { return serveHTTP(ctx, l, vms) })
	g.Go(func() error {
		r, err := history.New(history.Settings{Store: storeclient.New(runner.URL(), c.Key, http.DefaultClient)}).Create(ctx, data, nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.stdout, "store %s roster http://%s version %d\n", runner.URL(), l.Addr(), r.Version())
		return nil
	})
	return g.Wait()
}

// serveHTTP serves HTTP on the listener until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type targetCommand struct {
	Listen netip.AddrPort `help:"Address to listen on." required:"" placeholder:"IP:PORT"`
	Name   string         `help:"Name of the target in the configuration." required:""`
	Slots  int            `help:"Number of requests that run at once, from 1 to 10000." default:"6"`
	Mean   time.Duration  `help:"Mean service time." default:"20ms"`
	Seed   uint64         `help:"Seed of the service times." default:"1"`
}

// Run runs the stand-in until a signal stops it.
func (c *targetCommand) Run(ctx context.Context, s *streams) error {
	if c.Slots < 1 || c.Slots > 10_000 {
		return exitErrorf(exitUsage, "--slots %d is out of range; the range is 1 to 10000", c.Slots)
	}
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return exitErrorf(exitUsage, "--listen: %v", err)
	}
	fmt.Fprintf(s.stdout, "target %s %s\n", c.Name, l.Addr())
	return target.New(target.Settings{Name: c.Name, Slots: c.Slots, Seed: c.Seed, MeanServiceTime: c.Mean}).Serve(ctx, l)
}
