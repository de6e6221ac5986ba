package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"tamarackspool/internal/measure/orders"
)

// ordersCommand is the command that measures the methods of running an order at most once, or checks the product's method under faults.
type ordersCommand struct {
	Seed     uint64 `help:"Seed of the arrivals, faults and draws." default:"1"`
	Entries  int    `help:"Number of entries." default:"12"`
	JSON     bool   `help:"Print the report as JSON." name:"json"`
	Check    bool   `help:"Check histories under faults instead of measuring."`
	Orders   int    `help:"Number of orders to check." default:"10000"`
	Loopback int    `help:"With --check, number of sites of real entries on loopback to check, one after the other, instead of the fakes."`
	Parallel int    `help:"Number of clusters that are checked at once." default:"50"`
}

// reportWriter is the result of a measurement or a check.
type reportWriter interface{ Write(out io.Writer) error }

// Run measures or checks and prints the report; a violation is an error.
func (c *ordersCommand) Run() error {
	if c.Entries < 2 || c.Entries > 255 {
		return fmt.Errorf("orders: --entries is %d, accepted are 2 to 255", c.Entries)
	}
	if c.Check {
		return c.check()
	}
	s := orders.DefaultSettings()
	s.Seed, s.Entries = c.Seed, c.Entries
	return c.print(orders.Report{Seed: c.Seed, Entries: c.Entries, Figures: orders.Measure(s)})
}

func (c *ordersCommand) check() error {
	o := orders.Outcome{Seed: c.Seed, Faults: map[string]int{}}
	if c.Loopback == 0 {
		o = orders.Check(orders.CheckSettings{Seed: c.Seed, Orders: c.Orders, Entries: c.Entries, Parallel: c.Parallel})
	}
	for i := range c.Loopback {
		siteOutcome, err := orders.CheckLoopback(context.Background(), c.Seed+uint64(i))
		if err != nil {
			return fmt.Errorf("orders: seed %d: %w", c.Seed+uint64(i), err)
		}
		o.Add(siteOutcome)
	}
	if err := c.print(o); err != nil {
		return err
	}
	if n := len(o.Violations); n > 0 {
		return fmt.Errorf("orders: %d violations with seed %d", n, c.Seed)
	}
	return nil
}

func (c *ordersCommand) print(r reportWriter) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return r.Write(os.Stdout)
}
