package deployment

import (
	"fmt"
	"net/netip"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
)

// maxConnsPerTarget is the maximum number of connections to a target.
const maxConnsPerTarget = 400

// maxBodyBytes is the maximum size of a service's request bodies in bytes.
const maxBodyBytes = 32 << 20

// plannedTarget is a target without an address.
type plannedTarget struct {
	name    string
	zone    string
	service servicePlan
}

// plannedTargets returns all targets, assigned to the zones round-robin.
func (p plan) plannedTargets() []plannedTarget {
	zones := p.allZones()
	var all []plannedTarget
	for _, s := range p.services {
		for i := range s.targets {
			all = append(all, plannedTarget{fmt.Sprintf("%s-%d", s.name, i+1), zones[len(all)%len(zones)], s})
		}
	}
	return all
}

// regionLimit returns the maximum number of requests in flight in a region: 90 %
// of its slots, so that the limit and not the targets' slots bounds the region.
func (p plan) regionLimit(region string) int {
	slots := 0
	for _, s := range p.plannedTargets() {
		if p.regionOf(s.zone) == region {
			slots += s.service.slots
		}
	}
	return slots - slots/10
}

// document returns the encoded configuration. addresses holds the targets' addresses by name.
func (p plan) document(addresses map[string]netip.AddrPort) ([]byte, error) {
	f := document.Fields{Version: 1, Blocks: p.clientBlocks()}
	for _, s := range p.services {
		f.Services = append(f.Services, document.NewService(document.ServiceFields{
			Name: s.name, AtMostOnce: s.atMostOnce, Priority: s.priority, Timeout: timeout, MaxTimeout: 10 * timeout,
			MaxBodyBytes: maxBodyBytes, MaxShiftRate: s.shiftCap,
		}))
	}
	for i, r := range p.regions {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r, MaxInFlight: p.regionLimit(r), KeepFraction: 0.5}))
		for _, other := range p.regions[:i] {
			f.Links = append(f.Links, document.NewLink(other, r, p.linkRate))
		}
		for _, z := range zoneNames(r) {
			f.Zones = append(f.Zones, document.NewZone(z, r))
			for _, e := range p.entryNames(z) {
				f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: e, Zone: z}))
			}
		}
	}
	for _, s := range p.plannedTargets() {
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
			Name: s.name, Service: s.service.name, Zone: s.zone, Address: addresses[s.name],
			Slots: s.service.slots, MaxConns: maxConnsPerTarget,
		}))
	}
	for _, t := range p.tenants {
		f.Tenants = append(f.Tenants, document.NewTenant(t, "", nil))
	}
	return codec.Encode(document.New(f))
}
