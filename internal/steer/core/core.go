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

// MaxTickGap is the longest time between two ticks after which an entry may still use
// its gates and shares without a new confirmation of its incarnation by a peer.
const MaxTickGap = time.Second

// IsolationTimeout is how long an entry keeps its gates closed when no peer confirms it.
const IsolationTimeout = 3 * time.Second

// Settings identifies the entry that a core decides for.
type Settings struct {
	Entry  string
	Region string
	Zone   string
}

// Core runs the steering systems of one entry. Step must not be called concurrently.
type Core struct {
	settings          Settings
	tables            *table.Tables
	lastTick          time.Time
	uncertainSince    time.Time // uncertainSince is the time of the last start or pause of the entry.
	needsConfirmation bool      // needsConfirmation means that no peer has confirmed the entry since its last pause.
	sharesUsable      bool      // sharesUsable means that the entry may use its shares of links and shifts.
	countSteps        int       // countSteps is the number of steps by which this tick advances the shift counters.

	gates   map[string]*decision.Gate        // gates holds the gate of each target by its name.
	peers   map[string]*decision.Gate        // peers holds the gates of the peers by entry and service.
	meters  map[string]*decision.Meter       // meters holds the shift meters by service and home region.
	retries map[string]*decision.RetryBudget // retries holds the retry budget of each service by its name.
	buckets map[string]*decision.Bucket      // buckets holds the link bucket of each other region by its name.
	total   *decision.Gate

	// The counters of the rows, by index; bindCounters sets them when the rows change.
	targetGates []*decision.Gate
	peerGates   []*decision.Gate
	shiftMeters []*decision.Meter
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
		retries:  make(map[string]*decision.RetryBudget),
		buckets:  make(map[string]*decision.Bucket),
		total:    total,
	}
}

// GateCount returns the number of gates, one for each target and each service of a peer.
func (c *Core) GateCount() int { return len(c.gates) + len(c.peers) }

// Step runs all systems once and returns the snapshot that is valid until the
// next tick. The snapshot's status holds the events of the tick.
func (c *Core) Step(now time.Time, in *table.Input) *decision.Snapshot {
	t := c.tables
	if in == nil || in.Document == nil {
		return c.closedSnapshot(now)
	}
	t.SetInput(in)
	now = c.advance(now)
	c.updatePermissions(now, in)
	c.collectCounters(now)
	load.ApplyReports(now, t)
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

func (c *Core) closedSnapshot(now time.Time) *decision.Snapshot {
	return decision.New(decision.Fields{
		At: now, Region: c.settings.Region, Total: c.total, Closed: true,
		Status: decision.Status{At: now, Closed: true, Events: []decision.Event{
			{Number: event.InputMissing, Keyvals: []any{"entry", c.settings.Entry}},
		}},
	})
}

// advance prevents time from running backwards, detects pauses and returns the time of the tick.
func (c *Core) advance(now time.Time) time.Time {
	t := c.tables
	if c.lastTick.IsZero() {
		c.lastTick, c.uncertainSince, t.StartedAt = now, now, now
		t.Returned = c.onlyLiveInRegion()
		return now
	}
	if now.Before(c.lastTick) {
		t.Emit(event.ClockBackwards, "by", c.lastTick.Sub(now))
		now = c.lastTick
	}
	gap := now.Sub(c.lastTick)
	if gap > MaxTickGap {
		t.Emit(event.TickGap, "gap", gap)
		c.uncertainSince, c.needsConfirmation, c.sharesUsable = now, true, false
	}
	t.Elapsed = min(gap, table.MaxElapsed)
	c.countSteps = int(now.Sub(t.StartedAt)/shift.CountStep - c.lastTick.Sub(t.StartedAt)/shift.CountStep)
	c.lastTick = now
	return now
}

// onlyLiveInRegion reports whether this entry is the only live one of its region while other regions have live entries.
func (c *Core) onlyLiveInRegion() bool {
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

// updatePermissions decides whether this entry may use its gates and shares. After a
// start without any peer it may use both once IsolationTimeout has passed. After a pause it
// may use its shares only when a peer has confirmed it, because another process
// may use them by then.
func (c *Core) updatePermissions(now time.Time, in *table.Input) {
	since := now.Sub(c.uncertainSince)
	switch {
	case in.Confirmed && (since > 0 || !c.needsConfirmation):
		// A confirmation in the tick that detects the pause may be older than the pause.
		c.sharesUsable, c.needsConfirmation = true, false
	case since >= IsolationTimeout && !c.needsConfirmation:
		c.sharesUsable = true
	}
	c.tables.SharesSuspended = !c.sharesUsable
	c.tables.Closed = !c.sharesUsable && since < IsolationTimeout
}
