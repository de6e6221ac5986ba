package codec

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"tamarackspool/internal/config/document"
)

// The accepted ranges. The upper bounds only catch slips such as a wrong unit.
const (
	lowestTimeout  = time.Millisecond
	highestTimeout = 24 * time.Hour // the nightly price-list reads take hours
	highestBody    = int64(1) << 40 // bytes
	highestShift   = 1e6            // requests/s per second
	highestSlots   = 100_000
	highestConns   = 100_000
	highestLimit   = 100_000_000
	lowestRate     = 0.001     // Mbit/s
	highestRate    = 1_000_000 // Mbit/s
	lastPriority   = 9
)

func (b *builder) service(path string, w serviceWire) document.Service {
	within(b, path+".priority", w.Priority, 0, lastPriority)
	within(b, path+".body", w.Body, 1, highestBody)
	within(b, path+".shift", w.Shift, 0.001, highestShift)
	f := document.ServiceFields{
		Name: w.Name, Once: w.Once, Priority: w.Priority, Body: w.Body, Shift: w.Shift,
		Timeout: b.duration(path+".timeout", w.Timeout),
		Ceiling: b.duration(path+".ceiling", w.Ceiling),
	}
	if f.Ceiling < f.Timeout {
		b.add(path+".ceiling", "%s; at least the timeout of %s is accepted", f.Ceiling, f.Timeout)
	}
	return document.NewService(f)
}

func (b *builder) duration(path, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil || d < lowestTimeout || d > highestTimeout {
		b.add(path, "%q; a duration from %s to %s such as \"2s\" is accepted", s, lowestTimeout, highestTimeout)
	}
	return d
}

func (b *builder) region(path string, w regionWire) document.Region {
	within(b, path+".limit", w.Limit, 0, highestLimit)
	within(b, path+".keep", w.Keep, 0, 1)
	return document.NewRegion(document.RegionFields{Name: w.Name, Limit: w.Limit, Keep: w.Keep})
}

func (b *builder) zone(path string, w zoneWire) document.Zone {
	b.refer(path+".region", w.Region, "regions", b.regions)
	return document.NewZone(w.Name, w.Region)
}

func (b *builder) buildTargets() []document.Target {
	used := make(map[netip.AddrPort]string, len(b.w.Targets))
	return mapped("targets", b.w.Targets, func(path string, w targetWire) document.Target {
		b.refer(path+".service", w.Service, "services", b.services)
		b.refer(path+".zone", w.Zone, "zones", b.zones)
		within(b, path+".slots", w.Slots, 1, highestSlots)
		within(b, path+".conns", w.Conns, 1, highestConns)
		if w.Conns < w.Slots {
			b.add(path+".conns", "%d; at least the %d slots are accepted, because a connection carries one request", w.Conns, w.Slots)
		}
		a := b.address(path+".address", w.Address)
		if other, ok := used[a]; ok && a.IsValid() {
			b.add(path+".address", "%s is the address of target %s; an address of its own is accepted", a, other)
		}
		used[a] = w.Name
		return document.NewTarget(document.TargetFields{
			Name: w.Name, Service: w.Service, Zone: w.Zone, Address: a, Slots: w.Slots, Conns: w.Conns,
		})
	})
}

// address reads an IP address and port; names are refused because resolving them would be a hidden dependency.
func (b *builder) address(path, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		b.add(path, "%q; an IP address and port such as 10.0.0.7:8080 is accepted", s)
		return netip.AddrPort{}
	}
	return a
}

// optional reads an address that may be left out.
func (b *builder) optional(path, s string) netip.AddrPort {
	if s == "" {
		return netip.AddrPort{}
	}
	return b.address(path, s)
}

func (b *builder) entry(path string, w entryWire) document.Entry {
	b.refer(path+".zone", w.Zone, "zones", b.zones)
	return document.NewEntry(document.EntryFields{
		Name: w.Name, Zone: w.Zone,
		Call: b.optional(path+".call", w.Call),
		Peer: b.optional(path+".peer", w.Peer),
		Pass: b.optional(path+".pass", w.Pass),
	})
}

func (b *builder) tenant(path string, w tenantWire) document.Tenant {
	if sum, err := hex.DecodeString(w.Digest); err != nil || (len(sum) != 0 && len(sum) != 32) {
		b.add(path+".digest", "not a SHA-256; 64 hexadecimal digits or an empty text are accepted")
	}
	for i, s := range w.Services {
		b.refer(fmt.Sprintf("%s.services[%d]", path, i), s, "services", b.services)
	}
	return document.NewTenant(w.Name, w.Digest, w.Services)
}

func (b *builder) checkBlocks() {
	for i, name := range b.w.Blocks {
		if sum, err := hex.DecodeString(name); err != nil || len(sum) != 32 {
			b.add(fmt.Sprintf("blocks[%d]", i), "%q; the SHA-256 of a part in hexadecimal is accepted", name)
		}
	}
}
