package world

import (
	"fmt"
	"io"
	"slices"
	"time"

	"tamarackspool/internal/soak/ledger"
)

// Settings are the settings of one soak.
type Settings struct {
	Program      string        // Program is the path of the entry's executable.
	Seed         uint64        // Seed determines the schedule.
	Duration     time.Duration // Duration is the duration of the soak.
	Entries      int           // Entries is the number of entries.
	BreakPromise string        // BreakPromise is the promise to break on purpose; empty for none.
	Restore      bool          // Restore restores the store from an older copy at the start of the schedule.
	Targets      int           // Targets is the number of registered targets of a cost measurement.
	ScheduleLog  io.Writer     // ScheduleLog gets a line for each step of the schedule.
}

// The accepted ranges of the flags --for, --nodes and --targets.
const (
	minFor, maxFor     = 20 * time.Second, time.Hour
	minNodes, maxNodes = 2, 300
	maxTargets         = 5000
)

// Check returns an error that names the flag and its accepted range when a value is out of range.
func (s Settings) Check() error {
	if s.Duration < minFor || s.Duration > maxFor {
		return fmt.Errorf("--for %v is out of range; the range is %v to %v", s.Duration, minFor, maxFor)
	}
	if s.Entries < minNodes || s.Entries > maxNodes {
		return fmt.Errorf("--nodes %d is out of range; the range is %d to %d", s.Entries, minNodes, maxNodes)
	}
	if s.Targets < 0 || s.Targets > maxTargets {
		return fmt.Errorf("--targets %d is out of range; the range is 0 to %d", s.Targets, maxTargets)
	}
	if s.BreakPromise != "" && !slices.Contains(ledger.Promises(), ledger.Promise(s.BreakPromise)) {
		return fmt.Errorf("--break %q is none of %v", s.BreakPromise, ledger.Promises())
	}
	return nil
}

// Report is the outcome of a soak.
type Report struct {
	Requests, Served int // Requests and Served are the numbers of requests and of successful ones.
	Runs             int // Runs is the number of requests that ran at targets.
	Steps            int // Steps is the number of steps of the schedule.
	Violations       []ledger.Violation
	Lines            []string // Lines are the entries' log lines about the requests of the first broken promises.
}
