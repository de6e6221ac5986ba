package deployment

import (
	"fmt"
	"time"

	"tamarackspool/internal/standin/caller"
)

// plan describes a deployment before it has addresses.
type plan struct {
	name     string
	regions  []string
	store    string // store is the region of the key-value service.
	zones    time.Duration
	between  time.Duration
	clients  time.Duration
	rate     int64 // rate is the limit of each link in bytes per second each way.
	services []servicePlan
	tenants  []string
	blocks   bool // blocks gives the clients of each region addresses of their own and a client block.
	perZone  int  // perZone is the number of entries in each availability zone.
}

// servicePlan describes a service, its targets and the traffic to it.
type servicePlan struct {
	name    string
	once    bool
	rank    int
	targets int
	slots   int
	work    time.Duration
	shift   float64
	loads   []caller.Load // loads are the traffic of one region's callers.
	hot     float64       // hot multiplies the traffic of the second region, so that it spills.
}

// perZone is the number of entries in each availability zone of the demo.
const perZone = 2

// timeout is the deadline of the demo's requests.
const timeout = 4 * time.Second

// plans are the deployments by name.
func plans() map[string]plan {
	return map[string]plan{"letters": letters(), "cartridge": cartridge()}
}

// letters is latency-bound: many short look-ups and long distances.
func letters() plan {
	return plan{
		name: "letters", regions: []string{"marmara", "ege", "anadolu"}, store: "marmara",
		zones: 3 * time.Millisecond, between: 35 * time.Millisecond, clients: time.Millisecond,
		rate: 4_000_000_000 / 8, tenants: []string{"parents", "teachers"}, perZone: perZone,
		services: []servicePlan{
			{
				name: "status", rank: 0, targets: 14, slots: 6, work: 20 * time.Millisecond, shift: 40, hot: 1,
				loads: []caller.Load{{Kind: caller.Read, Rate: 60, Answer: 2 << 10}},
			},
			{
				name: "gifts", once: true, rank: 0, targets: 12, slots: 3, work: 60 * time.Millisecond, shift: 20, hot: 2,
				loads: []caller.Load{{Kind: caller.Order, Rate: 20, Body: 1 << 10, Answer: 512}},
			},
			{
				name: "drawings", rank: 1, targets: 16, slots: 6, work: 200 * time.Millisecond, shift: 20, hot: 3,
				loads: []caller.Load{
					{Kind: caller.Upload, Rate: 12, Body: 1 << 20, Answer: 512},
					{Kind: caller.Read, Rate: 16, Answer: 256 << 10},
				},
			},
		},
	}
}

// cartridge is headroom-bound: few slots and narrow links.
func cartridge() plan {
	return plan{
		name: "cartridge", regions: []string{"pl-central", "pl-south", "pl-north"}, store: "pl-central",
		zones: 5 * time.Millisecond, between: 12 * time.Millisecond, clients: 8 * time.Millisecond,
		rate: 280_000_000 / 8, tenants: []string{"rura", "zawor"}, perZone: perZone,
		services: []servicePlan{
			{
				name: "search", rank: 0, targets: 14, slots: 3, work: 20 * time.Millisecond, shift: 40, hot: 1,
				loads: []caller.Load{{Kind: caller.Read, Rate: 50, Answer: 4 << 10}},
			},
			{
				name: "orders", once: true, rank: 0, targets: 12, slots: 3, work: 60 * time.Millisecond, shift: 20, hot: 2,
				loads: []caller.Load{{Kind: caller.Order, Rate: 20, Body: 1 << 10, Answer: 512}},
			},
			{
				name: "photos", rank: 1, targets: 16, slots: 3, work: 200 * time.Millisecond, shift: 20, hot: 3,
				loads: []caller.Load{
					{Kind: caller.Upload, Rate: 8, Body: 1536 << 10, Answer: 512},
					{Kind: caller.Read, Rate: 8, Answer: 768 << 10},
				},
			},
		},
	}
}

// zoneNames returns the two availability zones of a region.
func zoneNames(region string) []string { return []string{region + "-a", region + "-b"} }

// allZones returns the zones of all regions, alternating between regions, so
// that targets dealt out in this order are spread evenly.
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
	for i := range p.perZone {
		names = append(names, fmt.Sprintf("%s-%d", zone, i+1))
	}
	return names
}
