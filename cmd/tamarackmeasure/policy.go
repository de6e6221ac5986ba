package main

import (
	"context"
	"encoding/json"
	"os"

	"tamarackspool/internal/measure/policy"
)

type policyCommand struct {
	Deployment string   `help:"Deployment to measure." enum:"letters,cartridge,all" default:"all"`
	Scenario   string   `help:"Scenario to measure, or all." default:"all"`
	Seed       uint64   `help:"Seed of the arrivals and draws." default:"1"`
	Policies   []string `help:"Policies to run, all when empty; the stated targets need owner and oracle." name:"policy"`
	JSON       bool     `help:"Print the report as JSON." name:"json"`
}

// Run measures and prints the report.
func (c *policyCommand) Run() error {
	r, err := policy.Run(context.Background(), policy.Settings{
		Deployment: c.Deployment, Scenario: c.Scenario, Seed: c.Seed, Policies: c.Policies,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return r.Write(os.Stdout)
}
