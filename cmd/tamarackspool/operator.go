package main

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"os/user"
	"time"

	"tamarackspool/internal/entry/console"
)

// admin are the flags of the commands that talk to the operators' API.
type admin struct {
	Admin []netip.AddrPort `help:"Operators' addresses of entries; the next one is asked when one does not answer." placeholder:"IP:PORT" required:""`
	Key   string           `name:"operator-key" help:"Token of the operators." required:""`
	JSON  bool             `help:"Print the API's responses as JSON."`
	authority
}

func (a admin) console(s *streams) (*console.Console, error) {
	client, scheme, err := a.client()
	if err != nil {
		return nil, err
	}
	var bases []string
	for _, address := range a.Admin {
		bases = append(bases, scheme+"://"+address.String())
	}
	return &console.Console{Client: console.NewClient(bases, a.Key, client), Out: s.out, JSON: a.JSON}, nil
}

// with runs f on the console and gives its failure an exit status.
func (a admin) with(s *streams, f func(*console.Console) error) error {
	c, err := a.console(s)
	if err != nil {
		return err
	}
	return ended(f(c))
}

// ended turns a failure of the console into one with its exit status.
func ended(err error) error {
	if f, ok := errors.AsType[*console.Failure](err); ok {
		return failWith(f.ExitCode(), err)
	}
	return err
}

// change are the flags of the commands that change the configuration.
type change struct {
	Base uint64 `help:"Version that the change was made for. Default: the version in force." env:"-"`
	ID   string `help:"Identity of the change; the same id is applied at most once. Default: a new one." env:"-"`
	Who  string `help:"Who makes the change. Default: the user's name."`
	Why  string `help:"Reason for the audit trail." required:""`
}

func (c change) console() console.Change {
	return console.Change{Base: c.Base, ID: c.ID, Who: author(c.Who), Why: c.Why}
}

func author(who string) string {
	if who != "" {
		return who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type patchCommand struct {
	admin
	change
	File string `arg:"" optional:"" default:"-" help:"File with the JSON patch; - reads standard input."`
}

// Run submits the patch.
func (c *patchCommand) Run(ctx context.Context, s *streams) error {
	data, err := c.read(s)
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	return c.with(s, func(o *console.Console) error { return o.Patch(ctx, c.change.console(), data, nil) })
}

func (c *patchCommand) read(s *streams) ([]byte, error) {
	if c.File == "-" {
		return io.ReadAll(s.input)
	}
	return os.ReadFile(c.File)
}

// What to drain has no environment variables: an entry's TAMARACK_ZONE or TAMARACK_REGION would select it by accident.
type drainCommand struct {
	admin
	change
	Name   string    `arg:"" help:"Name of the drain."`
	Target []string  `help:"Target to empty; may be repeated." env:"-" xor:"what"`
	Zone   string    `help:"Availability zone to empty." env:"-" xor:"what"`
	Region string    `help:"Region to empty." env:"-" xor:"what"`
	Start  time.Time `help:"When the drain starts (RFC 3339). Default: now."`
	End    time.Time `help:"When the targets return (RFC 3339). Default: never."`
	Follow bool      `help:"Wait until nothing is in flight at the targets."`
}

// Run plans the drain.
func (c *drainCommand) Run(ctx context.Context, s *streams) error {
	if len(c.Target) == 0 && c.Zone == "" && c.Region == "" {
		return fail(exitUsage, "one of --target, --zone and --region is needed")
	}
	d := console.Drain{
		Name: c.Name, Targets: c.Target, Zone: c.Zone, Region: c.Region, Start: c.Start, End: c.End, Follow: c.Follow,
	}
	return c.with(s, func(o *console.Console) error { return o.Drain(ctx, c.change.console(), d) })
}

type configCommand struct{ admin }

// Run prints the configuration.
func (c *configCommand) Run(ctx context.Context, s *streams) error {
	return c.with(s, func(o *console.Console) error { return o.Config(ctx) })
}

type statusCommand struct {
	admin
	Region []string `help:"Region to show; may be repeated. Default: all." env:"-"`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, s *streams) error {
	return c.with(s, func(o *console.Console) error { return o.Status(ctx, c.Region...) })
}

type auditCommand struct {
	admin
	From uint64 `help:"Version of the first record." default:"0"`
}

// Run prints the audit trail.
func (c *auditCommand) Run(ctx context.Context, s *streams) error {
	return c.with(s, func(o *console.Console) error { return o.Audit(ctx, c.From) })
}
