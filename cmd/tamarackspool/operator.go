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

// admin holds the flags of the commands that call the operators' API.
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
	var baseURLs []string
	for _, address := range a.Admin {
		baseURLs = append(baseURLs, scheme+"://"+address.String())
	}
	return &console.Console{Client: console.NewClient(baseURLs, a.Key, client), Out: s.stdout, JSON: a.JSON}, nil
}

// withConsole calls f with a console and adds the exit status to its error.
func (a admin) withConsole(s *streams, f func(*console.Console) error) error {
	c, err := a.console(s)
	if err != nil {
		return err
	}
	return addExitCode(f(c))
}

// addExitCode adds the exit status to an error of the console.
func addExitCode(err error) error {
	if f, ok := errors.AsType[*console.Failure](err); ok {
		return withExitCode(f.ExitCode(), err)
	}
	return err
}

// change holds the flags of the commands that change the configuration.
type change struct {
	Base uint64 `help:"Version that the change was made for. Default: the version in force." env:"-"`
	ID   string `help:"Identity of the change; the same id is applied at most once. Default: a new one." env:"-"`
	Who  string `help:"Who makes the change. Default: the user's name."`
	Why  string `help:"Reason for the audit trail." required:""`
}

func (c change) console() console.Change {
	return console.Change{Base: c.Base, ID: c.ID, Who: author(c.Who), Why: c.Why}
}

// author returns who makes a change: the --who value, else the name of the operating system's user.
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
		return exitErrorf(exitUsage, "%v", err)
	}
	return c.withConsole(s, func(o *console.Console) error { return o.Patch(ctx, c.change.console(), data, nil) })
}

func (c *patchCommand) read(s *streams) ([]byte, error) {
	if c.File == "-" {
		return io.ReadAll(s.stdin)
	}
	return os.ReadFile(c.File)
}

// The flags that select what to drain have no environment variables: an entry's
// TAMARACK_ZONE or TAMARACK_REGION would select its zone or region by accident.
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

// Run submits the drain.
func (c *drainCommand) Run(ctx context.Context, s *streams) error {
	if len(c.Target) == 0 && c.Zone == "" && c.Region == "" {
		return exitErrorf(exitUsage, "one of --target, --zone and --region is needed")
	}
	d := console.Drain{
		Name: c.Name, Targets: c.Target, Zone: c.Zone, Region: c.Region, Start: c.Start, End: c.End, Follow: c.Follow,
	}
	return c.withConsole(s, func(o *console.Console) error { return o.Drain(ctx, c.change.console(), d) })
}

type configCommand struct{ admin }

// Run prints the configuration.
func (c *configCommand) Run(ctx context.Context, s *streams) error {
	return c.withConsole(s, func(o *console.Console) error { return o.Config(ctx) })
}

type statusCommand struct {
	admin
	Region []string `help:"Region to show; may be repeated. Default: all." env:"-"`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, s *streams) error {
	return c.withConsole(s, func(o *console.Console) error { return o.Status(ctx, c.Region...) })
}

type auditCommand struct {
	admin
	From uint64 `help:"Version of the first record." default:"0"`
}

// Run prints the audit trail.
func (c *auditCommand) Run(ctx context.Context, s *streams) error {
	return c.withConsole(s, func(o *console.Console) error { return o.Audit(ctx, c.From) })
}
