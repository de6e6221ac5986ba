package capacity

import (
	"context"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/steer/core"
	"tamarackspool/internal/steer/table"
)

// ticksPerSecond is how often an entry runs the steering systems.
const ticksPerSecond = 10

// SteerRole measures one tick of the steering systems; the number of sites grows with the fleet.
type SteerRole struct{}

// Name returns the name of the role.
func (SteerRole) Name() string { return "steer" }

// Scale counts entries.
func (SteerRole) Scale() Scale { return nodeScale(12, 48, 192, 400, DesignNodes) }

// Measure steps the core of one entry in a fleet of the given size.
func (SteerRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	now := time.Now()
	in := &table.Input{Document: document.New(configFields(size)), Confirmed: true}
	for i := range size {
		in.Members = append(in.Members, table.Member{Name: entryName(i), State: table.Alive})
		for _, s := range services {
			in.SlotCounts = append(in.SlotCounts, table.SlotCount{Entry: entryName(i), Service: s, Free: 3, Slots: 6, At: now})
		}
	}
	before := heapBytes()
	c := core.New(core.Settings{Entry: entryName(0), Region: regionName(0), Zone: zoneName(0)})
	step := func() {
		now = now.Add(time.Second / ticksPerSecond)
		in.Reports = in.Reports[:0]
		for _, t := range c.Step(now, in).Owned() {
			in.Reports = append(in.Reports, table.Report{Target: t.Name(), Busy: 1, Slots: 6, At: now})
		}
	}
	for range 50 {
		step()
	}
	out := map[string]float64{"memory-MB": (heapBytes() - before) / 1e6}
	took := cpuTimePerCall(ctx, 500*time.Millisecond, step)
	out["step-µs"] = microseconds(took)
	out["step-alloc-kB"] = allocatedBytes(step) / 1e3
	reading := cpuTimePerCall(ctx, sampleTime, membershipReader(size))
	out["read-µs"] = microseconds(reading)
	out["core-percent"] = 100 * ticksPerSecond * (took + reading/time.Duration(node.ReadTicks(size))).Seconds()
	return out, nil
}

// membershipReader returns a function that reads what a tick reads from the membership before the steering systems run:
// all members and free slots for the input, and the choice of the watchers.
func membershipReader(size int) func() {
	now := time.Now()
	all := fleetMembers(size)
	t := member.NewTable(now, all[0])
	t.Merge(now, all[1:])
	for _, m := range all[1:] {
		t.MergeHeartbeat(now, member.Heartbeat{Digest: m.Digest(), Sequence: m.Sequence() + 1, FreeSlots: map[string]int{services[0]: 1, services[1]: 2, services[2]: 3}})
	}
	return func() {
		in := &table.Input{}
		for _, m := range t.Members() {
			in.Members = append(in.Members, table.Member{Name: m.Name()})
		}
		for _, r := range t.FreeSlots() {
			in.SlotCounts = append(in.SlotCounts, table.SlotCount{Entry: r.Entry(), Service: r.Service(), Free: r.Count(), At: r.UpdatedAt()})
		}
		t.Watchers(watcherCount)
	}
}
