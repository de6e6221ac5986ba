// Command tamarackmeasure measures the components of the steering system against small fakes.
package main

import "github.com/alecthomas/kong"

// commands are the subcommands; each has its own file.
type commands struct {
	Policy      policyCommand      `cmd:"" help:"Measure steering policies side by side."`
	Orders      ordersCommand      `cmd:"" help:"Measure and check the ways to run an order at most once."`
	Capacity    capacityCommand    `cmd:"" help:"Measure how the cost of a node grows with the fleet."`
	Forward     forwardCommand     `cmd:"" help:"Measure what an entry adds to a direct call."`
	Propagation propagationCommand `cmd:"" help:"Measure how fast a configuration reaches every entry."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("tamarackmeasure"), kong.Description("Measurements on small fakes."))
	ctx.FatalIfErrorf(ctx.Run())
}
