package world

import (
	"fmt"
	"io"
	"slices"
	"time"

	"tamarackspool/internal/soak/ledger"
)

// Settings are those of one soak.
type Settings struct {
	Program string // Program is the path of the entry's program.
	Seed    uint64 // Seed decides the schedule.
	For     time.Duration
	Nodes   int
	Break   string    // Break names the promise that is broken on purpose; empty for none.
	Targets int       // Targets is the number of registrations of a measurement of the cost.
	Notes   io.Writer // Notes gets a line for each step of the schedule.
}

// The accepted ranges.
const (
	leastFor, mostFor     = 20 * time.Second, time.Hour
	leastNodes, mostNodes = 2, 300
	mostTargets           = 5000
)

// Check returns an error that names the flag and the accepted range of a value out of range.
func (s Settings) Check() error {
	if s.For < leastFor || s.For > mostFor {
		return fmt.Errorf("--for %v is out of range; the range is %v to %v", s.For, leastFor, mostFor)
	}
	if s.Nodes < leastNodes || s.Nodes > mostNodes {
		return fmt.Errorf("--nodes %d is out of range; the range is %d to %d", s.Nodes, leastNodes, mostNodes)
	}
	if s.Targets < 0 || s.Targets > mostTargets {
		return fmt.Errorf("--targets %d is out of range; the range is 0 to %d", s.Targets, mostTargets)
	}
	if s.Break != "" && !slices.Contains(ledger.Promises(), ledger.Promise(s.Break)) {
		return fmt.Errorf("--break %q is none of %v", s.Break, ledger.Promises())
	}
	return nil
}

// Report is the outcome of a soak.
type Report struct {
	Asked, Served int
	Runs          int
	Steps         int
	Broken        []ledger.Break
	Lines         []string // Lines are the entries' log lines of the first broken promises.
}
