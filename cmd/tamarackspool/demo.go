package main

import (
	"context"
	"encoding/json"
	"time"

	"tamarackspool/internal/demo/deployment"
)

type demoCommand struct {
	Deployment string        `help:"Deployment to run: ${enum}." enum:"letters,cartridge" default:"letters"`
	Duration   time.Duration `help:"How long callers send requests, from 5s to 10m." default:"20s"`
	Seed       uint64        `help:"Seed of the traffic and the network." default:"1"`
	JSON       bool          `help:"Print the summary as JSON."`
	Fault      []string      `help:"Break promises on purpose: ${enum}." enum:"twice,lie,mixed,short,late,flood,cut,shift,stale"`
	Load       float64       `help:"Fraction of the deployment's traffic that callers send, from 0 to 1." default:"1"`
	Verbose    bool          `help:"Print the events of all entries."`
}

// Run runs the demo and prints the summary; a broken promise is an error.
func (c *demoCommand) Run(ctx context.Context, s *streams) error {
	settings := deployment.Settings{
		Deployment: c.Deployment, Duration: c.Duration, Seed: c.Seed,
		LoadFraction: c.Load, Progress: s.stderr,
	}
	for _, f := range c.Fault {
		settings.Faults = append(settings.Faults, deployment.Fault(f))
	}
	if err := settings.Check(); err != nil {
		return withExitCode(exitUsage, err)
	}
	if c.Verbose {
		settings.Log = s.stderr
	}
	summary, err := deployment.Run(ctx, settings)
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(s.stdout)
		e.SetIndent("", "  ")
		err = e.Encode(summary)
	} else {
		err = summary.Write(s.stdout)
	}
	if err != nil {
		return err
	}
	if len(summary.Breaches) > 0 {
		return exitErrorf(exitBroken, "broken promise: %s", summary.Breaches[0].Promise)
	}
	return nil
}
