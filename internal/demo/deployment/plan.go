package deployment

import (
	"fmt"
	"time"

	"tamarackspool/internal/standin/caller"
)

// plan describes a deployment without the addresses of its processes.
type plan struct {
	name            string
	regions         []string
	storeRegion     string // storeRegion is the region of the key-value service.
	zoneDelay       time.Duration
	regionDelay     time.Duration
	clientDelay     time.Duration
	linkRate        int64 // linkRate is the limit of each link in bytes per second and direction.
	services        []servicePlan
	tenants         []string
	hasClientBlocks bool // hasClientBlocks gives the clients of each region an address range and a client block of their own.
	entriesPerZone  int  // entriesPerZone is the number of entries in each availability zone.
}

// servicePlan describes a service, its targets and the traffic to it.
type servicePlan struct {
	name               string
	atMostOnce         bool
	priority           int
	targets            int
	slots              int
	workTime           time.Duration
	shiftCap           float64
	loads              []caller.Load // loads is the traffic of all callers of one region.
	secondRegionFactor float64       // secondRegionFactor multiplies the traffic of the second region, so that it spills to others.
}

// defaultEntriesPerZone is the number of entries in each availability zone of the demo.
const defaultEntriesPerZone = 2

// timeout is the deadline of the demo's requests.
const timeout = 4 * time.Second

// plans returns the plans of the deployments by name.
func plans() map[string]plan {
	return map[string]plan{"letters": letters(), "cartridge": cartridge()}
}

// letters returns the plan of the latency-bound deployment: many short look-ups and
// long network delays between regions.
func letters() plan {
	return plan{
		name: "letters", regions: []string{"marmara", "ege", "anadolu"}, storeRegion: "marmara",
		zoneDelay: 3 * time.Millisecond, regionDelay: 35 * time.Millisecond, clientDelay: time.Millisecond,
		linkRate: 4_000_000_000 / 8, tenants: []string{"parents", "teachers"}, entriesPerZone: defaultEntriesPerZone,
		services: []servicePlan{
			{
				name: "status", priority: 0, targets: 14, slots: 6, workTime: 20 * time.Millisecond, shiftCap: 40, secondRegionFactor: 1,
				loads: []caller.Load{{Kind: caller.Read, Rate: 60, ResponseBytes: 2 << 10}},
			},
			{
				name: "gifts", atMostOnce: true, priority: 0, targets: 12, slots: 3, workTime: 60 * time.Millisecond, shiftCap: 20, secondRegionFactor: 2,
				loads: []caller.Load{{Kind: caller.Order, Rate: 20, BodyBytes: 1 << 10, ResponseBytes: 512}},
			},
			{
				name: "drawings", priority: 1, targets: 16, slots: 6, workTime: 200 * time.Millisecond, shiftCap: 20, secondRegionFactor: 3,
				loads: []caller.Load{
					{Kind: caller.Upload, Rate: 12, BodyBytes: 1 << 20, ResponseBytes: 512},
					{Kind: caller.Read, Rate: 16, ResponseBytes: 256 << 10},
				},
			},
		},
	}
}

// cartridge returns the plan of the headroom-bound deployment: few slots and low link limits.
func cartridge() plan {
	return plan{
		name: "cartridge", regions: []string{"pl-central", "pl-south", "pl-north"}, storeRegion: "pl-central",
		zoneDelay: 5 * time.Millisecond, regionDelay: 12 * time.Millisecond, clientDelay: 8 * time.Millisecond,
		linkRate: 280_000_000 / 8, tenants: []string{"rura", "zawor"}, entriesPerZone: defaultEntriesPerZone,
		services: []servicePlan{
			{
				name: "search", priority: 0, targets: 14, slots: 3, workTime: 20 * time.Millisecond, shiftCap: 40, secondRegionFactor: 1,
				loads: []caller.Load{{Kind: caller.Read, Rate: 50, ResponseBytes: 4 << 10}},
			},
			{
				name: "orders", atMostOnce: true, priority: 0, targets: 12, slots: 3, workTime: 60 * time.Millisecond, shiftCap: 20, secondRegionFactor: 2,
				loads: []caller.Load{{Kind: caller.Order, Rate: 20, BodyBytes: 1 << 10, ResponseBytes: 512}},
			},
			{
				name: "photos", priority: 1, targets: 16, slots: 3, workTime: 200 * time.Millisecond, shiftCap: 20, secondRegionFactor: 3,
				loads: []caller.Load{
					{Kind: caller.Upload, Rate: 8, BodyBytes: 1536 << 10, ResponseBytes: 512},
					{Kind: caller.Read, Rate: 8, ResponseBytes: 768 << 10},
				},
			},
		},
	}
}

// zoneNames returns the two availability zones of a region.
func zoneNames(region string) []string { return []string{region + "-a", region + "-b"} }

// allZones returns the zones of all regions, alternating between regions, so
// that targets assigned in this order are spread evenly.
func (p plan) allZones() []string {
	var all []string
	for i := range 2 {
		for _, r := range p.regions {
			all = append(all, zoneNames(r)[i])
		}
	}
	return all
}

// regionOf returns the region of a zone.
func (p plan) regionOf(zone string) string {
	for _, r := range p.regions {
		for _, z := range zoneNames(r) {
			if z == zone {
				return r
			}
		}
	}
	return ""
}

// entryNames returns the names of the entries of a zone.
func (p plan) entryNames(zone string) []string {
	var names []string
	for i := range p.entriesPerZone {
		names = append(names, fmt.Sprintf("%s-%d", zone, i+1))
	}
	return names
}
