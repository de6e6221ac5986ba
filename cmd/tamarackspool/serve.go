package main

import (
	"context"
	"net/netip"
	"time"
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
	StopLimit time.Duration `help:"Longest time of a graceful shutdown." default:"10m"`
	TTL       time.Duration `name:"lookup-ttl" help:"How long callers keep a look-up." default:"10s"`
	Retention time.Duration `help:"How long caller-chosen keys are remembered." default:"24h"`
	Keys      int           `help:"Most order keys held in memory." default:"200000"`
	Header    int           `name:"header-limit" help:"Largest accepted request header in bytes." default:"32768"`
	Seed      uint64        `help:"Seed of random choices; 0 takes a random one." default:"0"`
}

// Run runs the entry until a signal stops it.
func (c *entryCommand) Run(ctx context.Context, s *streams) error { return nil }

type demoCommand struct {
	Deployment string        `help:"Deployment to run: ${enum}." enum:"letters,cartridge" default:"letters"`
	Duration   time.Duration `help:"How long callers send requests, from 5s to 10m." default:"20s"`
	Seed       uint64        `help:"Seed of the traffic and the network." default:"1"`
	JSON       bool          `help:"Print the summary as JSON."`
	Fault      string        `help:"Make a part break a promise: ${enum}." enum:",twice,lie" default:""`
}

// Run runs the demo.
func (c *demoCommand) Run(ctx context.Context, s *streams) error { return nil }

type storeCommand struct {
	Listen netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:9000"`
}

// Run runs the stand-in until a signal stops it.
func (c *storeCommand) Run(ctx context.Context, s *streams) error { return nil }

type targetCommand struct {
	Listen netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:9100"`
}

// Run runs the stand-in until a signal stops it.
func (c *targetCommand) Run(ctx context.Context, s *streams) error { return nil }
