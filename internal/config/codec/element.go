package codec

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"tamarackspool/internal/config/document"
)

// The accepted ranges. The upper bounds only catch mistakes such as a wrong unit.
const (
	minTimeout     = time.Millisecond
	maxTimeout     = 24 * time.Hour // the nightly price-list reads take hours
	maxBodyBytes   = int64(1) << 40 // bytes
	maxShift       = 1e6            // requests/s per second
	maxSlots       = 100_000
	maxConns       = 100_000
	maxRegionLimit = 100_000_000
	minLinkRate    = 0.001     // Mbit/s
	maxLinkRate    = 1_000_000 // Mbit/s
	maxPriority    = 9
)

func (b *builder) buildService(path string, w serviceWire) document.Service {
	checkRange(b, path+".priority", w.Priority, 0, maxPriority)
	checkRange(b, path+".body", w.Body, 1, maxBodyBytes)
	checkRange(b, path+".shift", w.Shift, 0.001, maxShift)
	f := document.ServiceFields{
		Name: w.Name, AtMostOnce: w.Once, Priority: w.Priority, MaxBodyBytes: w.Body, MaxShiftRate: w.Shift,
		Timeout:    b.parseDuration(path+".timeout", w.Timeout),
		MaxTimeout: b.parseDuration(path+".ceiling", w.Ceiling),
	}
	if f.MaxTimeout < f.Timeout {
		b.addFault(path+".ceiling", "%s; at least the timeout of %s is accepted", f.MaxTimeout, f.Timeout)
	}
	return document.NewService(f)
}

func (b *builder) parseDuration(path, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil || d < minTimeout || d > maxTimeout {
		b.addFault(path, "%q; a duration from %s to %s such as \"2s\" is accepted", s, minTimeout, maxTimeout)
	}
	return d
}

func (b *builder) buildRegion(path string, w regionWire) document.Region {
	checkRange(b, path+".limit", w.Limit, 0, maxRegionLimit)
	checkRange(b, path+".keep", w.Keep, 0, 1)
	return document.NewRegion(document.RegionFields{Name: w.Name, MaxInFlight: w.Limit, KeepFraction: w.Keep})
}

func (b *builder) buildZone(path string, w zoneWire) document.Zone {
	b.checkReference(path+".region", w.Region, "regions", b.regions)
	return document.NewZone(w.Name, w.Region)
}

func (b *builder) buildTargets() []document.Target {
	used := make(map[netip.AddrPort]string, len(b.wire.Targets))
	return buildList("targets", b.wire.Targets, func(path string, w targetWire) document.Target {
		b.checkReference(path+".service", w.Service, "services", b.services)
		b.checkReference(path+".zone", w.Zone, "zones", b.zones)
		checkRange(b, path+".slots", w.Slots, 1, maxSlots)
		checkRange(b, path+".conns", w.Conns, 1, maxConns)
		if w.Conns < w.Slots {
			b.addFault(path+".conns", "%d; at least the %d slots are accepted, because a connection carries one request", w.Conns, w.Slots)
		}
		a := b.parseAddress(path+".address", w.Address)
		if other, ok := used[a]; ok && a.IsValid() {
			b.addFault(path+".address", "%s is the address of target %s; a unique address is accepted", a, other)
		}
		used[a] = w.Name
		return document.NewTarget(document.TargetFields{
			Name: w.Name, Service: w.Service, Zone: w.Zone, Address: a, Slots: w.Slots, MaxConns: w.Conns,
		})
	})
}

// parseAddress parses an IP address and port. Host names are refused because resolving them would add a
// hidden dependency on DNS.
func (b *builder) parseAddress(path, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		b.addFault(path, "%q; an IP address and port such as 10.0.0.7:8080 is accepted", s)
		return netip.AddrPort{}
	}
	return a
}

// parseOptionalAddress parses an address that may be empty.
func (b *builder) parseOptionalAddress(path, s string) netip.AddrPort {
	if s == "" {
		return netip.AddrPort{}
	}
	return b.parseAddress(path, s)
}

func (b *builder) buildEntry(path string, w entryWire) document.Entry {
	b.checkReference(path+".zone", w.Zone, "zones", b.zones)
	return document.NewEntry(document.EntryFields{
		Name: w.Name, Zone: w.Zone,
		CallerAddress: b.parseOptionalAddress(path+".call", w.Call),
		PeerAddress:   b.parseOptionalAddress(path+".peer", w.Peer),
		RelayAddress:  b.parseOptionalAddress(path+".pass", w.Pass),
	})
}

func (b *builder) buildTenant(path string, w tenantWire) document.Tenant {
	if sum, err := hex.DecodeString(w.Digest); err != nil || (len(sum) != 0 && len(sum) != 32) {
		b.addFault(path+".digest", "not a SHA-256; 64 hexadecimal digits or an empty string are accepted")
	}
	for i, s := range w.Services {
		b.checkReference(fmt.Sprintf("%s.services[%d]", path, i), s, "services", b.services)
	}
	return document.NewTenant(w.Name, w.Digest, w.Services)
}

func (b *builder) checkBlocks() {
	for i, name := range b.wire.Blocks {
		if sum, err := hex.DecodeString(name); err != nil || len(sum) != 32 {
			b.addFault(fmt.Sprintf("blocks[%d]", i), "%q; the SHA-256 of a part in hexadecimal is accepted", name)
		}
	}
}
