package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"tamarackspool/internal/measure/capacity"
)

// Capacity measures how the cost of a node grows with the fleet.
type Capacity struct {
	JSON  bool   `help:"Write JSON." name:"json"`
	Plot  string `help:"Write drawings into this directory." type:"existingdir"`
	Seed  uint64 `help:"Seed of the random choices." default:"1"`
	Sizes []int  `help:"Fleet sizes." default:"12,48,192,400"`
}

// Run measures and prints the slopes.
func (c *Capacity) Run() error {
	slopes, err := capacity.Run(context.Background(), capacity.Gossip{Seed: c.Seed}, c.Sizes)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := capacity.Plot(slopes, c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(slopes)
	}
	for _, s := range slopes {
		fmt.Printf("%-8s %-18s %8.3f at %v, fit %.4g + %.4g n (error %.3g), at %d nodes %.4g, budget %g, pass %v\n",
			s.Role, s.Figure, s.Values, s.Nodes, s.Base, s.Gain, s.Error, capacity.DesignNodes, s.Design, s.Budget, s.Pass)
	}
	return nil
}
