package policy

import (
	"fmt"
	"time"

	"tamarackspool/internal/config/document"
)

// workload describes the requests of one service.
type workload struct {
	service                     string
	readOnly                    bool
	meanServiceTime             time.Duration // at a target with warm caches
	requestBytes, responseBytes int64         // body sizes
	timeout                     time.Duration
	shiftCap                    float64 // limit on the growth of traffic served outside its home region, in requests/s per second
	priority                    int
	targetCount                 int
	slots                       int
}

// deployment holds the sizes, the load and the one-way network delays of one user's deployment.
type deployment struct {
	name         string
	regions      []string
	callerShares []float64 // share of the callers whose home is each region
	zoneDelay    time.Duration
	regionDelay  time.Duration
	clientDelay  time.Duration
	linkRate     int64 // bytes per second and direction between two regions
	workloads    []workload
}

// localDelay is the one-way delay within a zone.
const localDelay = 300 * time.Microsecond

// regionLimitShare is a region's limit on requests in flight as a share of its slots.
const regionLimitShare = 0.95

func deployments() []deployment {
	return []deployment{
		{
			name: "letters", regions: []string{"marmara", "ege", "anadolu"}, callerShares: []float64{0.4, 0.33, 0.27},
			zoneDelay: 3 * time.Millisecond, regionDelay: 35 * time.Millisecond, clientDelay: time.Millisecond, linkRate: 500e6,
			workloads: []workload{
				{"status", true, 30 * time.Millisecond, 500, 2000, 2 * time.Second, 60, 0, 14, 6},
				{"gifts", false, 50 * time.Millisecond, 2000, 1000, 5 * time.Second, 20, 0, 12, 3},
				{"drawings", true, 200 * time.Millisecond, 300e3, 300e3, 10 * time.Second, 16, 1, 16, 6},
			},
		},
		{
			name: "cartridge", regions: []string{"pl-central", "pl-south", "pl-north"}, callerShares: []float64{0.4, 0.33, 0.27},
			zoneDelay: 5 * time.Millisecond, regionDelay: 12 * time.Millisecond, clientDelay: 8 * time.Millisecond, linkRate: 35e6,
			workloads: []workload{
				{"search", true, 40 * time.Millisecond, 500, 8000, 2 * time.Second, 40, 0, 14, 3},
				{"orders", false, 80 * time.Millisecond, 3000, 2000, 5 * time.Second, 20, 0, 12, 3},
				{"photos", true, 300 * time.Millisecond, 300e3, 500e3, 20 * time.Second, 8, 1, 16, 3},
			},
		},
	}
}

// configuration returns the deployment's configuration with two zones per region and
// two entries per zone; targets are spread round-robin over the regions and zones.
func (d *deployment) configuration() document.Fields {
	f := document.Fields{Version: 1}
	slots := make([]int, len(d.regions))
	for _, w := range d.workloads {
		f.Services = append(f.Services, document.NewService(document.ServiceFields{
			Name: w.service, AtMostOnce: !w.readOnly, Priority: w.priority, Timeout: w.timeout, MaxTimeout: w.timeout, MaxShiftRate: w.shiftCap,
		}))
		for i := range w.targetCount {
			r := i % len(d.regions)
			f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
				Name: fmt.Sprintf("%s-%d", w.service, i), Service: w.service,
				Zone: zoneName(d.regions[r], i/len(d.regions)%2), Slots: w.slots, MaxConns: 400,
			}))
			slots[r] += w.slots
		}
	}
	for i, r := range d.regions {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: r, MaxInFlight: int(regionLimitShare * float64(slots[i])), KeepFraction: 0.5}))
		for z := range 2 {
			f.Zones = append(f.Zones, document.NewZone(zoneName(r, z), r))
			for k := range 2 {
				f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{
					Name: fmt.Sprintf("%s-%d", zoneName(r, z), k+1), Zone: zoneName(r, z),
				}))
			}
		}
		for _, o := range d.regions[i+1:] {
			f.Links = append(f.Links, document.NewLink(r, o, d.linkRate))
		}
	}
	return f
}

func zoneName(region string, n int) string { return region + "-" + string(rune('a'+n)) }

// delay returns the one-way delay between two zones of the given regions.
func (d *deployment) delay(regionA int, zoneA string, regionB int, zoneB string) time.Duration {
	switch {
	case regionA != regionB:
		return d.regionDelay
	case zoneA != zoneB:
		return d.zoneDelay
	default:
		return localDelay
	}
}
