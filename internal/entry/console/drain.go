package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// followInterval is the pause between two polls of the progress of a drain.
const followInterval = time.Second

// Drain describes a drain to start.
type Drain struct {
	Name    string
	Targets []string // Targets, Zone and Region select what to drain; exactly one of them is set.
	Zone    string
	Region  string
	Start   time.Time // Start is when the targets stop receiving requests; the zero time means now.
	End     time.Time // End is when the targets receive requests again; the zero time means never.
	Follow  bool      // Follow waits until the drained targets have no requests in flight.
}

// progress is the progress of a drain in the whole fleet.
type progress struct {
	Name    string   `json:"name"`
	Busy    int      `json:"busy"`
	Closed  int      `json:"closed"`  // targets whose owners admit no new requests
	Targets int      `json:"targets"` // drained targets
	Quiet   bool     `json:"quiet"`
	Delayed string   `json:"delayed,omitempty"`
	Missing []string `json:"missing"` // entries that did not answer
}

// Drain starts a drain and, with Follow, waits until it is quiet: no owner of a drained target admits new
// requests, and none is in flight. The called entry collects the state of the targets from their owners, so the
// address of one entry is sufficient.
func (c *Console) Drain(ctx context.Context, ch Change, d Drain) error {
	if err := c.fillDefaults(ctx, &ch); err != nil {
		return err
	}
	body := map[string]any{"base": ch.Base, "id": ch.ID, "who": ch.Who, "why": ch.Why, "name": d.Name}
	if len(d.Targets) > 0 {
		body["targets"] = d.Targets
	}
	if d.Zone != "" {
		body["zone"] = d.Zone
	}
	if d.Region != "" {
		body["region"] = d.Region
	}
	if !d.Start.IsZero() {
		body["start"] = d.Start
	}
	if !d.End.IsZero() {
		body["end"] = d.End
	}
	version, err := c.submit(ctx, "/drain", ch.ID, body)
	if err != nil || !d.Follow {
		return err
	}
	return c.followDrain(ctx, d.Name, version)
}

// Follow waits until the drain with the given name is quiet in the whole fleet.
func (c *Console) Follow(ctx context.Context, name string) error { return c.followDrain(ctx, name, 0) }

func (c *Console) followDrain(ctx context.Context, name string, version uint64) error {
	for {
		p := c.drainProgress(ctx, name, version)
		data, err := json.Marshal(p)
		if err != nil {
			return failf(CodeInternal, "%v", err)
		}
		if err := c.print(data, func(w io.Writer) { p.print(w) }); err != nil {
			return err
		}
		if p.Quiet {
			return nil
		}
		if err := c.waitInterval(ctx); err != nil {
			return failf(CodeUnavailable, "drain %s is not quiet yet: %v", name, err)
		}
	}
}

// drainProgress queries the entries in order until one responds with at least the given version.
func (c *Console) drainProgress(ctx context.Context, name string, version uint64) progress {
	p := progress{Name: name, Missing: []string{}}
	for _, base := range c.Client.bases {
		var s status
		r, err := c.Client.call(ctx, base, http.MethodGet, "/status", nil)
		if err != nil || r.code != http.StatusOK || json.Unmarshal(r.data, &s) != nil || s.Version < version {
			continue
		}
		p.Missing = s.Missing
		for _, d := range s.Drains {
			if d.Name == name {
				p.Busy, p.Closed, p.Targets, p.Quiet, p.Delayed = d.Busy, d.Closed, len(d.Targets), d.Quiet, d.Delayed
			}
		}
		return p
	}
	return p
}

func (p progress) print(w io.Writer) {
	state := "draining"
	if p.Quiet {
		state = "quiet"
	}
	missing := ""
	if len(p.Missing) > 0 {
		missing = "no answer from " + strings.Join(p.Missing, " ")
	}
	fmt.Fprintf(w, "%s\t%s\t%d in flight\t%d of %d targets closed\t%s\t%s\n",
		p.Name, state, p.Busy, p.Closed, p.Targets, p.Delayed, missing)
}

func (c *Console) waitInterval(ctx context.Context) error {
	if c.Wait != nil {
		return c.Wait(ctx, followInterval)
	}
	t := time.NewTimer(followInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
