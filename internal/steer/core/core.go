package core

import (
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/drain"
	"tamarackspool/internal/steer/link"
	"tamarackspool/internal/steer/load"
	"tamarackspool/internal/steer/overload"
	"tamarackspool/internal/steer/owner"
	"tamarackspool/internal/steer/shift"
	"tamarackspool/internal/steer/split"
	"tamarackspool/internal/steer/table"
	"tamarackspool/internal/steer/warm"
)

// Gap is the pause between two ticks after which an entry must not use its
// gates and shares before a peer has confirmed its incarnation.
const Gap = time.Second

// Alone is how long an entry that no peer confirms keeps its gates closed.
const Alone = 3 * time.Second

// Settings name the entry that a core decides for.
type Settings struct {
	Entry  string
	Region string
	Zone   string
}

// Core runs the steering systems of one entry. One goroutine calls Step.
type Core struct {
	settings Settings
	tables   *table.Tables
	last     time.Time
	unsure   time.Time // unsure is when the entry last started or was paused.
	paused   bool      // paused means that a pause is not yet followed by a confirmation.
	sure     bool      // sure means that the shares may be used.
	steps    int       // steps is the number of count steps that the tick moves on by.

	gates   map[string]*decision.Gate
	peers   map[string]*decision.Gate
	meters  map[string]*decision.Meter
	retries map[string]*decision.Retries
	buckets map[string]*decision.Bucket
	total   *decision.Gate

	// The counters of the rows, by index; bind sets them when the rows change.
	targetGates []*decision.Gate
	peerGates   []*decision.Gate
	rowMeters   []*decision.Meter
}

// New returns a core without any configuration.
func New(s Settings) *Core {
	total := &decision.Gate{}
	total.SetLimit(-1)
	return &Core{
		settings: s,
		tables:   table.New(s.Entry, s.Region, s.Zone),
		gates:    make(map[string]*decision.Gate),
		peers:    make(map[string]*decision.Gate),
		meters:   make(map[string]*decision.Meter),
		retries:  make(map[string]*decision.Retries),
		buckets:  make(map[string]*decision.Bucket),
		total:    total,
	}
}

// Gates returns the number of targets and peer services that the core counts requests for.
func (c *Core) Gates() int { return len(c.gates) + len(c.peers) }

// Step runs all systems once and returns the decisions until the next tick.
// The events of the tick are in the snapshot's status.
func (c *Core) Step(now time.Time, in *table.Input) *decision.Snapshot {
	t := c.tables
	if in == nil || in.Document == nil {
		return c.empty(now)
	}
	t.Take(in)
	now = c.advance(now)
	c.judge(now, in)
	c.harvest(now)
	load.Hear(now, t)
	drain.Update(now, t)
	owner.Update(now, t)
	load.Update(now, t)
	warm.Update(now, t)
	split.Update(now, t)
	shift.Update(now, t)
	link.Update(now, t)
	overload.Update(now, t)
	return c.publish(now)
}

func (c *Core) empty(now time.Time) *decision.Snapshot {
	return decision.New(decision.Fields{
		At: now, Region: c.settings.Region, Total: c.total, Closed: true,
		Status: decision.Status{At: now, Closed: true, Events: []decision.Event{
			{Number: event.InputMissing, Keyvals: []any{"entry", c.settings.Entry}},
		}},
	})
}

// advance clamps time that runs backwards and notes pauses.
func (c *Core) advance(now time.Time) time.Time {
	t := c.tables
	if c.last.IsZero() {
		c.last, c.unsure, t.Began = now, now, now
		t.Returned = c.alone()
		return now
	}
	if now.Before(c.last) {
		t.Emit(event.ClockBackwards, "by", c.last.Sub(now))
		now = c.last
	}
	gap := now.Sub(c.last)
	if gap > Gap {
		t.Emit(event.TickGap, "gap", gap)
		c.unsure, c.paused, c.sure = now, true, false
	}
	t.Elapsed = min(gap, table.MaxElapsed)
	c.steps = int(now.Sub(t.Began)/shift.Step - c.last.Sub(t.Began)/shift.Step)
	c.last = now
	return now
}

// alone reports whether other regions have live entries and this one has none but this entry.
func (c *Core) alone() bool {
	elsewhere := false
	for _, e := range c.tables.Entries {
		live := e.State == table.Alive || e.State == table.Suspect
		if !live || e.Spec.Name() == c.settings.Entry {
			continue
		}
		if e.Region == c.settings.Region {
			return false
		}
		elsewhere = true
	}
	return elsewhere
}

// judge decides whether this entry may use its gates and shares. After a start
// without any peer it uses both in the end; after a pause it gets its shares
// back only from a peer, because another process may use them by then.
func (c *Core) judge(now time.Time, in *table.Input) {
	since := now.Sub(c.unsure)
	switch {
	case in.Confirmed && (since > 0 || !c.paused):
		// A confirmation seen in the tick of the pause itself may be older than it.
		c.sure, c.paused = true, false
	case since >= Alone && !c.paused:
		c.sure = true
	}
	c.tables.Idle = !c.sure
	c.tables.Closed = !c.sure && since < Alone
}
