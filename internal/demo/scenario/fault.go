package scenario

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarackspool/internal/demo/deployment"
	"tamarackspool/internal/standin/target"
)

// fault injects or clears a fault.
func (s *scriptState) fault(_ io.Writer, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	rest := args[1:]
	switch args[0] {
	case "store":
		return s.faultStore(rest)
	case "list":
		return s.faultList(rest)
	case "target":
		return s.eachTarget(rest, s.faultTarget)
	case "reports":
		return s.eachTarget(rest, s.faultReports)
	}
	if len(rest) != 2 {
		return errUsage
	}
	switch args[0] + " " + rest[1] {
	case "region lost":
		return s.live.LoseRegion(rest[0])
	case "region back":
		return s.live.RestoreRegion(rest[0])
	}
	switch args[0] {
	case "part":
		s.live.Network().Cut(rest[0], rest[1])
	case "join":
		s.live.Network().Heal(rest[0], rest[1])
	case "silence":
		s.live.Network().Silence(rest[0], rest[1])
	default:
		return errUsage
	}
	return nil
}

func (s *scriptState) faultStore(args []string) error {
	store := s.live.Store()
	switch strings.Join(args, " ") {
	case "down":
		store.SetDown(true)
		return nil
	case "up":
		store.SetDown(false)
		return nil
	case "silent":
		store.SetWatchesSilent(true)
		return nil
	case "heard":
		store.SetWatchesSilent(false)
		return nil
	case "restart":
		store.Restart(false)
		return nil
	case "stale":
		store.Restart(true)
		return nil
	}
	switch {
	case len(args) == 2 && args[0] == "slow":
		d, err := time.ParseDuration(args[1])
		store.SetDelay(d)
		return err
	case len(args) == 2 && args[0] == "fall":
		store.GoDownAfterWrite(args[1])
		return nil
	case len(args) == 3 && args[0] == "lose":
		n, err := strconv.Atoi(args[1])
		store.LoseResponses(n, args[2])
		return err
	}
	return errUsage
}

func (s *scriptState) faultList(args []string) error {
	switch list := s.live.VMList(); {
	case slices.Equal(args, []string{"down"}):
		list.SetDown(true)
	case slices.Equal(args, []string{"up"}):
		list.SetDown(false)
	case slices.Equal(args, []string{"frozen"}):
		list.SetFrozen(true)
	case slices.Equal(args, []string{"moving"}):
		list.SetFrozen(false)
	case len(args) == 2 && args[0] == "lag":
		d, err := time.ParseDuration(args[1])
		list.SetLag(d)
		return err
	case len(args) == 2 && args[0] == "leaving":
		if s.live.Target(args[1]) != nil {
			s.live.MarkLeaving(args[1])
		}
		list.Set(args[1], true)
	default:
		return errUsage
	}
	return nil
}

// eachTarget calls f with the remaining arguments for the target, or for all targets of the region, named by args[0].
func (s *scriptState) eachTarget(args []string, f func(name string, args []string) error) error {
	found := false
	for _, t := range s.live.Targets() {
		if t != args[0] && s.live.RegionOf(t) != args[0] {
			continue
		}
		found = true
		if err := f(t, args[1:]); err != nil {
			return err
		}
	}
	if !found {
		return errUsage
	}
	return nil
}

func (s *scriptState) faultTarget(name string, args []string) error {
	t := s.live.Target(name)
	if len(args) == 2 && args[0] == "slow" {
		d, err := time.ParseDuration(args[1])
		t.SetFaults(target.Faults{ResponseDelay: d})
		return err
	}
	if len(args) != 1 {
		return errUsage
	}
	switch f := args[0]; f {
	case "cold":
		t.EmptyCache()
	case "shed":
		t.SetFaults(target.Faults{Shedding: true})
	case "cut":
		t.SetFaults(target.Faults{TruncateResponses: true})
	case "twice":
		t.SetFaults(target.Faults{RunTwice: true})
	case "lie", "mixed", "short":
		return s.live.SetTargetFault(name, deployment.Fault(f))
	case "die":
		return s.live.KillTarget(name)
	case "revive":
		return s.live.RestartTarget(name)
	case "well":
		t.SetFaults(target.Faults{})
		return s.live.SetTargetFault(name, "")
	default:
		return errUsage
	}
	return nil
}

func (s *scriptState) faultReports(name string, args []string) error {
	t := s.live.Target(name)
	switch {
	case slices.Equal(args, []string{"stop"}):
		t.SetFaults(target.Faults{NoLoadReport: true})
	case slices.Equal(args, []string{"true"}):
		t.SetFaults(target.Faults{})
	case len(args) == 2 && args[0] == "false":
		factor, err := strconv.ParseFloat(args[1], 64)
		t.SetFaults(target.Faults{LoadReportFactor: factor})
		return err
	case len(args) == 2 && args[0] == "old":
		d, err := time.ParseDuration(args[1])
		t.SetFaults(target.Faults{LoadReportAge: d})
		return err
	default:
		return errUsage
	}
	return nil
}

// entry acts on the process of an entry.
func (s *scriptState) entry(_ io.Writer, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	switch args[0] {
	case "kill":
		return s.live.KillEntry(args[1])
	case "replace":
		return s.live.ReplaceEntry(args[1])
	case "pause":
		return s.live.SetEntryPaused(args[1], true)
	case "wake":
		return s.live.SetEntryPaused(args[1], false)
	case "stop":
		return s.live.StopEntry(args[1])
	}
	return errUsage
}

// visit sends a read directly to a target, bypassing all entries.
func (s *scriptState) visit(_ io.Writer, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	return s.live.RequestTarget(s.live.Context(), args[0], "visit")
}
