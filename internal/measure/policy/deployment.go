package policy

import (
	"fmt"
	"time"

	"tamarackspool/internal/config/document"
)

// work describes the requests of one service.
type work struct {
	service string
	read    bool
	mean    time.Duration // mean time at a warm target
	out, in int64         // bytes of the request and of its response
	timeout time.Duration
	cap     float64 // cap on the growth of traffic away from home, in requests/s per second
	rank    int     // priority
	targets int
	slots   int
}

// deployment is one user's sizes and delays.
type deployment struct {
	name    string
	regions []string
	demand  []float64 // part of the callers whose home is each region
	zone    time.Duration
	region  time.Duration
	client  time.Duration
	link    int64 // bytes per second and direction between two regions
	works   []work
}

// local is the one-way delay within a zone.
const local = 300 * time.Microsecond

// limited is the region limit as a part of the region's slots.
const limited = 0.95

func deployments() []deployment {
	return []deployment{
		{
			name: "letters", regions: []string{"marmara", "ege", "anadolu"}, demand: []float64{0.4, 0.33, 0.27},
			zone: 3 * time.Millisecond, region: 35 * time.Millisecond, client: time.Millisecond, link: 500e6,
			works: []work{
				{"status", true, 30 * time.Millisecond, 500, 2000, 2 * time.Second, 60, 0, 14, 6},
				{"gifts", false, 50 * time.Millisecond, 2000, 1000, 5 * time.Second, 20, 0, 12, 3},
				{"drawings", true, 200 * time.Millisecond, 300e3, 300e3, 10 * time.Second, 16, 1, 16, 6},
			},
		},
		{
			name: "cartridge", regions: []string{"pl-central", "pl-south", "pl-north"}, demand: []float64{0.4, 0.33, 0.27},
			zone: 5 * time.Millisecond, region: 12 * time.Millisecond, client: 8 * time.Millisecond, link: 35e6,
			works: []work{
				{"search", true, 40 * time.Millisecond, 500, 8000, 2 * time.Second, 40, 0, 14, 3},
				{"orders", false, 80 * time.Millisecond, 3000, 2000, 5 * time.Second, 20, 0, 12, 3},
				{"photos", true, 300 * time.Millisecond, 300e3, 500e3, 20 * time.Second, 8, 1, 16, 3},
			},
		},
	}
}

// fields returns the deployment's configuration with two zones per region and
// two entries per zone; targets are spread over the regions and zones in turn.
func (d *deployment) fields() document.Fields {
	f := document.Fields{Version: 1}
	slots := make([]int, len(d.regions))
	for _, w := range d.works {
		f.Services = append(f.Services, document.NewService(document.ServiceFields{
			Name: w.service, AtMostOnce: !w.read, Priority: w.rank, Timeout: w.timeout, MaxTimeout: w.timeout, MaxShiftRate: w.cap,
		}))
		for i := range w.targets {
			r := i % len(d.regions)
			f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
				Name: fmt.Sprintf("%s-%d", w.service, i), Service: w.service,
				Zone: zoneName(d.regions[r], i/len(d.regions)%2), Slots: w.slots, MaxConns: 400,
			}))
			slots[r] += w.slots
		}
	}
	for i, r := range d.regions {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r, MaxInFlight: int(limited * float64(slots[i])), KeepFraction: 0.5}))
		for z := range 2 {
			f.Zones = append(f.Zones, document.NewZone(zoneName(r, z), r))
			for k := range 2 {
				f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{
					Name: fmt.Sprintf("%s-%d", zoneName(r, z), k+1), Zone: zoneName(r, z),
				}))
			}
		}
		for _, o := range d.regions[i+1:] {
			f.Links = append(f.Links, document.NewLink(r, o, d.link))
		}
	}
	return f
}

func zoneName(region string, n int) string { return region + "-" + string(rune('a'+n)) }

// delay returns the one-way delay between two zones of the given regions.
func (d *deployment) delay(regionA int, zoneA string, regionB int, zoneB string) time.Duration {
	switch {
	case regionA != regionB:
		return d.region
	case zoneA != zoneB:
		return d.zone
	default:
		return local
	}
}
