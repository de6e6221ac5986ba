package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/google/uuid"
)

type patchCommand struct {
	admin
	Base uint64 `help:"Version that the patch was made for." required:""`
	ID   string `help:"Identity of the change; the same id is applied at most once. Default: a new one."`
	Who  string `help:"Who makes the change. Default: the user's name."`
	Why  string `help:"Reason for the audit trail." required:""`
	File string `arg:"" optional:"" default:"-" help:"File with the JSON patch; - reads standard input."`
}

// Run submits the patch.
func (c *patchCommand) Run(ctx context.Context, s *streams) error {
	data, err := c.read(s)
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	if !json.Valid(data) {
		return fail(exitUsage, "%s is not JSON", c.File)
	}
	id := identity(s, c.ID)
	return c.call(ctx, s, http.MethodPost, "/patch", nil, map[string]any{
		"base": c.Base, "id": id, "who": author(c.Who), "why": c.Why, "patch": json.RawMessage(data),
	})
}

func (c *patchCommand) read(s *streams) ([]byte, error) {
	if c.File == "-" {
		return io.ReadAll(s.input)
	}
	return os.ReadFile(c.File)
}

// identity returns the id, or prints a new one so that an unknown outcome can be asked for again.
func identity(s *streams, id string) string {
	if id == "" {
		id = uuid.NewString()
		fmt.Fprintln(s.problems, "id:", id)
	}
	return id
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

type drainCommand struct {
	admin
	Base   uint64    `help:"Version that the drain is planned for. Default: the version in force at the entry."`
	ID     string    `help:"Identity of the change; the same id is applied at most once. Default: a new one."`
	Who    string    `help:"Who makes the change. Default: the user's name."`
	Why    string    `help:"Reason for the audit trail." required:""`
	Name   string    `arg:"" help:"Name of the drain."`
	Target []string  `help:"Target to empty; may be repeated." xor:"what"`
	Zone   string    `help:"Availability zone to empty." xor:"what"`
	Region string    `help:"Region to empty." xor:"what"`
	Start  time.Time `help:"When the drain starts (RFC 3339). Default: now."`
	End    time.Time `help:"When the targets return (RFC 3339). Default: never."`
}

// Run plans the drain.
func (c *drainCommand) Run(ctx context.Context, s *streams) error {
	if len(c.Target) == 0 && c.Zone == "" && c.Region == "" {
		return fail(exitUsage, "one of --target, --zone and --region is needed")
	}
	if c.Start.IsZero() {
		c.Start = time.Now()
	}
	body := map[string]any{
		"id": identity(s, c.ID), "who": author(c.Who), "why": c.Why, "name": c.Name,
		"start": c.Start.UTC().Format(time.RFC3339Nano),
	}
	optional(body, "targets", c.Target, len(c.Target) > 0)
	optional(body, "base", c.Base, c.Base > 0)
	optional(body, "zone", c.Zone, c.Zone != "")
	optional(body, "region", c.Region, c.Region != "")
	optional(body, "end", c.End.UTC().Format(time.RFC3339Nano), !c.End.IsZero())
	return c.call(ctx, s, http.MethodPost, "/drain", nil, body)
}

func optional(body map[string]any, key string, value any, set bool) {
	if set {
		body[key] = value
	}
}

type configCommand struct{ admin }

// Run prints the configuration.
func (c *configCommand) Run(ctx context.Context, s *streams) error {
	return c.call(ctx, s, http.MethodGet, "/config", nil, nil)
}

type statusCommand struct{ admin }

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, s *streams) error {
	return c.call(ctx, s, http.MethodGet, "/status", nil, nil)
}

type auditCommand struct {
	admin
	From uint64 `help:"Number of the first record." default:"0"`
}

// Run prints the audit trail.
func (c *auditCommand) Run(ctx context.Context, s *streams) error {
	return c.call(ctx, s, http.MethodGet, "/audit", url.Values{"from": {strconv.FormatUint(c.From, 10)}}, nil)
}

type lookupCommand struct {
	Call    netip.AddrPort `help:"Callers' address of an entry." placeholder:"IP:PORT" required:""`
	Client  netip.Addr     `help:"Address of the client; default: this machine's."`
	Service string         `arg:"" help:"Name of the service."`
}

// Run prints the look-up.
func (c *lookupCommand) Run(ctx context.Context, s *streams) error {
	q := url.Values{"service": {c.Service}}
	if c.Client.IsValid() {
		q.Set("client", c.Client.String())
	}
	target := url.URL{Scheme: "http", Host: c.Call.String(), Path: "/lookup", RawQuery: q.Encode()}
	return fetch(ctx, s, http.MethodGet, target.String(), "", http.NoBody)
}
