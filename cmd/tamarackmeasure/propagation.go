package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"tamarackspool/internal/measure/propagation"
)

type propagationCommand struct {
	Seed    uint64 `help:"Seed of the network, the entries and the changes." default:"1"`
	Sizes   []int  `help:"Numbers of entries, from 6 to 96; faults are measured at the first." default:"12,48,96"`
	Changes int    `help:"Changes per fleet without faults, from 1 to 500." default:"50"`
	Faulty  int    `help:"Changes per fault, from 0 to 500; 0 measures no faults." default:"20"`
	JSON    bool   `help:"Print the report as JSON." name:"json"`
}

// Run measures and prints the report.
func (c *propagationCommand) Run() error {
	r, err := propagation.Run(context.Background(), propagation.Settings{
		Seed: c.Seed, Sizes: c.Sizes, Changes: c.Changes, Faulty: c.Faulty,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	_, err = fmt.Print(r)
	return err
}
