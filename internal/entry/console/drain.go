package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// interval is the pause between two looks at the progress of a drain.
const interval = time.Second

// Drain describes a drain to start.
type Drain struct {
	Name    string
	Targets []string // Targets, Zone or Region say what to drain; exactly one is given.
	Zone    string
	Region  string
	Start   time.Time // Start is when the targets stop receiving work; the zero time means now.
	End     time.Time // End is when the targets return; the zero time means never.
	Follow  bool      // Follow waits until nothing is in flight at the drained targets.
}

// progress is the state of a drain over all asked entries.
type progress struct {
	Name    string `json:"name"`
	Busy    int    `json:"busy"`
	Ready   int    `json:"ready"`   // entries that have the drain in force
	Entries int    `json:"entries"` // entries that were asked
	Quiet   bool   `json:"quiet"`
	Delayed string `json:"delayed,omitempty"`
}

// Drain starts a drain and, with Follow, waits until it is quiet. A target's requests are known to its
// owner only, so the client needs the addresses of all entries that own drained targets.
func (c *Console) Drain(ctx context.Context, ch Change, d Drain) error {
	if err := c.complete(ctx, &ch); err != nil {
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
	version, err := c.change(ctx, "/drain", ch.ID, body)
	if err != nil || !d.Follow {
		return err
	}
	return c.follow(ctx, d.Name, version)
}

// Follow waits until the drain with the given name is quiet at all asked entries.
func (c *Console) Follow(ctx context.Context, name string) error { return c.follow(ctx, name, 0) }

func (c *Console) follow(ctx context.Context, name string, version uint64) error {
	for {
		p := c.progress(ctx, name, version)
		data, err := json.Marshal(p)
		if err != nil {
			return failf(CodeInternal, "%v", err)
		}
		if err := c.print(data, func(w io.Writer) { p.table(w) }); err != nil {
			return err
		}
		if p.Quiet {
			return nil
		}
		if err := c.wait(ctx); err != nil {
			return failf(CodeUnavailable, "drain %s is not quiet yet: %v", name, err)
		}
	}
}

// progress asks all entries; the drain is quiet when each has it in force and nothing in flight.
func (c *Console) progress(ctx context.Context, name string, version uint64) progress {
	list, _ := c.all(ctx)
	p := progress{Name: name, Entries: len(c.Client.bases)}
	quiet := 0
	for _, s := range list {
		for _, d := range s.Drains {
			if d.Name != name || s.Version < version {
				continue
			}
			p.Busy += d.Busy
			if d.Active {
				p.Ready++
			}
			if d.Quiet {
				quiet++
			}
			if d.Delayed != "" {
				p.Delayed = d.Delayed
			}
		}
	}
	p.Quiet = quiet == p.Entries && quiet > 0
	return p
}

func (p progress) table(w io.Writer) {
	state := "draining"
	if p.Quiet {
		state = "quiet"
	}
	fmt.Fprintf(w, "%s\t%s\t%d in flight\tin force at %d of %d entries\t%s\n", p.Name, state, p.Busy, p.Ready, p.Entries, p.Delayed)
}

func (c *Console) wait(ctx context.Context) error {
	if c.Wait != nil {
		return c.Wait(ctx, interval)
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
