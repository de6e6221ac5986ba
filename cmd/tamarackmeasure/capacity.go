package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"tamarackspool/internal/measure/capacity"
)

// capacityTimeout bounds a run; a run takes less than 5 min.
const capacityTimeout = 6 * time.Minute

// capacityCommand is the command that measures how the cost of each role of a node grows with the fleet, and compares it with the budget at the design size.
type capacityCommand struct {
	JSON   bool     `help:"Write JSON." name:"json"`
	Plot   string   `help:"Write drawings into this directory." type:"existingdir"`
	Seed   uint64   `help:"Seed of the random choices." default:"1"`
	Sizes  []int    `help:"Fleet sizes of the gossip role." default:"48,192,400"`
	Deaths bool     `help:"Measure how long the death of an entry goes unnoticed; takes up to 90 s more per fleet size."`
	Roles  []string `help:"Roles to measure; none means all." name:"role"`
}

// roles returns the selected roles.
func (c *capacityCommand) roles() []capacity.Role {
	all := []capacity.Role{
		capacity.GossipRole{Seed: c.Seed, Sizes: c.Sizes, MeasureDeaths: c.Deaths},
		capacity.SteerRole{},
		capacity.DirectoryRole{},
		capacity.ConfigRole{},
		capacity.AuditRole{},
		capacity.OperatorsRole{},
		capacity.StoreRole{},
		capacity.BlocksRole{},
		capacity.LookupRole{},
		capacity.RequestRole{Seed: c.Seed},
	}
	return slices.DeleteFunc(all, func(r capacity.Role) bool {
		return len(c.Roles) > 0 && !slices.Contains(c.Roles, r.Name())
	})
}

// Run measures the roles and prints the slope of each figure.
func (c *capacityCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), capacityTimeout)
	defer cancel()
	var slopes []capacity.Slope
	for _, role := range c.roles() {
		roleSlopes, err := capacity.Run(ctx, role)
		if err != nil {
			return err
		}
		slopes = append(slopes, roleSlopes...)
	}
	slopes = append(slopes, capacity.Total(slopes)...)
	if c.Plot != "" {
		if err := capacity.Plot(slopes, c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(slopes)
	}
	for _, s := range slopes {
		fmt.Printf("%-9s %-20s %.4g at %v: %.4g + %.4g n (rms %.2g), at %g %s %.4g ± %.2g, budget %g: %s\n",
			s.Role, s.Figure, s.Values, s.Sizes, s.Intercept, s.GrowthPerUnit, s.RMSError, s.ExtrapolatedTo, s.Unit, s.DesignValue, s.Margin, s.Budget, s.Verdict)
	}
	return nil
}
