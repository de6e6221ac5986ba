package scenario

import (
	"context"
	"errors"
	"flag"
	"io"
	"strconv"

	"tamarackspool/internal/demo/deployment"
	"tamarackspool/internal/standin/caller"
	"tamarackspool/internal/standin/network"
)

// start starts a deployment and waits until every entry serves and every
// target has an owner that admits requests.
func (s *scriptState) start(out io.Writer, args []string) error {
	if s.live != nil {
		return errors.New("scenario: the deployment has already been started")
	}
	size := deployment.Size{Log: s.log, Loopback: network.NewMemory()}
	f := flags("start")
	f.StringVar(&size.Deployment, "deployment", "letters", "")
	f.IntVar(&size.Regions, "regions", 2, "")
	f.IntVar(&size.EntriesPerZone, "entries", 1, "")
	f.IntVar(&size.TargetsPerService, "targets", 4, "")
	f.IntVar(&size.SlotsPerTarget, "slots", 4, "")
	f.Float64Var(&size.ShiftCap, "shift", 20, "")
	f.Int64Var(&size.LinkRate, "rate", 20_000_000, "")
	f.Uint64Var(&size.Seed, "seed", 1, "")
	if f.Parse(args) != nil || f.NArg() > 0 {
		return errUsage
	}
	live, err := deployment.Start(context.Background(), size)
	if err != nil {
		return err
	}
	s.live = live
	return s.await(out, []string{"owned"})
}

func flags(name string) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	return f
}

// The sizes of the request and response bodies of a load in bytes.
const (
	smallBody    = 1 << 10
	uploadBody   = 64 << 10
	responseSize = 2 << 10
)

// load starts callers or stops all of them.
func (s *scriptState) load(_ io.Writer, args []string) error {
	if len(args) == 1 && args[0] == "off" {
		s.live.StopLoads()
		return nil
	}
	if len(args) < 2 {
		return errUsage
	}
	rate, err := strconv.ParseFloat(args[1], 64)
	if err != nil || rate <= 0 {
		return errUsage
	}
	l := caller.Load{Rate: rate, ResponseBytes: responseSize}
	switch args[0] {
	case "reads":
		l.Kind = caller.Read
	case "orders":
		l.Kind, l.BodyBytes = caller.Order, smallBody
	case "keyed":
		l.Kind, l.BodyBytes, l.OwnKeys = caller.Order, smallBody, true
	case "uploads":
		l.Kind, l.BodyBytes = caller.Upload, uploadBody
	default:
		return errUsage
	}
	l.Service = s.live.ServiceFor(l.Kind)
	s.live.StartLoad(l, args[2:]...)
	return nil
}
