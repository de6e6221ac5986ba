package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"tamarackspool/internal/measure/forward"
)

type forwardCommand struct {
	Seed    uint64 `help:"Seed of the pauses between calls." default:"1"`
	Callers []int  `help:"Numbers of concurrent callers, from 1 to 1000." default:"1,32,400"`
	JSON    bool   `help:"Print the report as JSON." name:"json"`
}

// The connections that are held open while memory is measured, as in docs/MEASUREMENTS.md.
const (
	idleCallers    = 5000
	stalledUploads = 200
)

// Run measures and prints the report.
func (c *forwardCommand) Run() error {
	r, err := forward.Run(context.Background(), forward.Settings{
		Seed: c.Seed, Callers: c.Callers, Idle: idleCallers, Uploads: stalledUploads,
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
