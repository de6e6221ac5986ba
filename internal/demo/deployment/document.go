package deployment

import (
	"fmt"
	"net/netip"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
)

// connections is the most connections that a target holds.
const connections = 400

// bodyLimit is the largest request body of a service in bytes.
const bodyLimit = 32 << 20

// spot is a target before it has an address.
type spot struct {
	name    string
	zone    string
	service servicePlan
}

// spots returns all targets, dealt out over the zones one after the other.
func (p plan) spots() []spot {
	zones := p.allZones()
	var all []spot
	for _, s := range p.services {
		for i := range s.targets {
			all = append(all, spot{fmt.Sprintf("%s-%d", s.name, i+1), zones[len(all)%len(zones)], s})
		}
	}
	return all
}

// limit returns the most requests in flight in a region: its slots less one
// tenth, so that the limit and not the targets' slots bounds the region.
func (p plan) limit(region string) int {
	slots := 0
	for _, s := range p.spots() {
		if p.regionOf(s.zone) == region {
			slots += s.service.slots
		}
	}
	return slots - slots/10
}

// document returns the encoded configuration with the addresses of the targets by name.
func (p plan) document(addresses map[string]netip.AddrPort) ([]byte, error) {
	f := document.Fields{Version: 1, Blocks: p.clientBlocks()}
	for _, s := range p.services {
		f.Services = append(f.Services, document.NewService(document.ServiceFields{
			Name: s.name, AtMostOnce: s.once, Priority: s.rank, Timeout: timeout, MaxTimeout: 10 * timeout,
			MaxBodyBytes: bodyLimit, MaxShiftRate: s.shift,
		}))
	}
	for i, r := range p.regions {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r, MaxInFlight: p.limit(r), KeepFraction: 0.5}))
		for _, other := range p.regions[:i] {
			f.Links = append(f.Links, document.NewLink(other, r, p.rate))
		}
		for _, z := range zoneNames(r) {
			f.Zones = append(f.Zones, document.NewZone(z, r))
			for _, e := range p.entryNames(z) {
				f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: e, Zone: z}))
			}
		}
	}
	for _, s := range p.spots() {
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
			Name: s.name, Service: s.service.name, Zone: s.zone, Address: addresses[s.name],
			Slots: s.service.slots, MaxConns: connections,
		}))
	}
	for _, t := range p.tenants {
		f.Tenants = append(f.Tenants, document.NewTenant(t, "", nil))
	}
	return codec.Encode(document.New(f))
}
