package scenario

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"

	"tamarackspool/internal/entry/console"
)

// adminURL returns the base URL of the operators' API of a running entry.
func (s *scriptState) adminURL(entry string) (string, error) {
	n := s.live.Node(entry)
	if n == nil {
		return "", fmt.Errorf("scenario: entry %q does not run", entry)
	}
	_, _, _, address := n.Addresses()
	return "http://" + address, nil
}

// newConsole returns a console that runs the operators' commands against an entry.
func (s *scriptState) newConsole(entry string, out io.Writer) (*console.Console, error) {
	base, err := s.adminURL(entry)
	if err != nil {
		return nil, err
	}
	return &console.Console{Client: console.NewClient([]string{base}, s.live.Token(), s.live.Client()), Out: out}, nil
}

// patch submits a JSON patch through an entry as the operators' command-line tool does.
func (s *scriptState) patch(out io.Writer, args []string) error {
	ch := console.Change{Who: "script", Why: "scenario"}
	f := flags("patch")
	f.Uint64Var(&ch.Base, "base", 0, "")
	f.StringVar(&ch.ID, "id", "", "")
	if f.Parse(args) != nil || f.NArg() != 2 {
		return errUsage
	}
	c, err := s.newConsole(f.Arg(0), out)
	if err != nil {
		return err
	}
	return c.Patch(s.live.Context(), ch, []byte(f.Arg(1)), nil)
}

// race concurrently submits the same patch under two change IDs through two
// entries, both on the same base version. It prints the two exit statuses, the
// lower one first.
func (s *scriptState) race(out io.Writer, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	version, _ := s.lowestVersion(nil)
	codes := make([]int, 2)
	var wg sync.WaitGroup
	for i, entry := range args[:2] {
		c, err := s.newConsole(entry, io.Discard)
		if err != nil {
			return err
		}
		ch := console.Change{Base: uint64(version), ID: fmt.Sprintf("race-%d-%d", version, i), Who: "operator-" + entry, Why: "race"}
		wg.Go(func() { codes[i] = exitStatus(c.Patch(s.live.Context(), ch, []byte(args[2]), nil)) })
	}
	wg.Wait()
	slices.Sort(codes)
	_, err := fmt.Fprintf(out, "exits %d and %d\n", codes[0], codes[1])
	return err
}

// drain submits a drain of targets that starts immediately.
func (s *scriptState) drain(out io.Writer, args []string) error {
	ch := console.Change{Who: "script", Why: "scenario"}
	f := flags("drain")
	f.StringVar(&ch.ID, "id", "", "")
	if f.Parse(args) != nil || f.NArg() < 3 {
		return errUsage
	}
	c, err := s.newConsole(f.Arg(0), out)
	if err != nil {
		return err
	}
	err = c.Drain(s.live.Context(), ch, console.Drain{Name: f.Arg(1), Targets: f.Args()[2:]})
	if err == nil {
		for _, t := range f.Args()[2:] {
			s.live.MarkLeaving(t)
		}
	}
	return err
}

// audit prints the audit trail.
func (s *scriptState) audit(out io.Writer, args []string) error {
	return s.printFromConsole(out, args, func(ctx context.Context, c *console.Console) error { return c.Audit(ctx, 0) })
}

// status prints the status of an entry.
func (s *scriptState) status(out io.Writer, args []string) error {
	return s.printFromConsole(out, args, func(ctx context.Context, c *console.Console) error { return c.Status(ctx) })
}

func (s *scriptState) printFromConsole(out io.Writer, args []string, f func(context.Context, *console.Console) error) error {
	if len(args) != 1 {
		return errUsage
	}
	c, err := s.newConsole(args[0], out)
	if err != nil {
		return err
	}
	return f(s.live.Context(), c)
}
