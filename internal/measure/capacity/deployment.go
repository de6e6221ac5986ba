package capacity

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/member"
)

// The layout of the measured deployments.
const (
	zonesPerRegion = 3
	sitesToday     = 6
	nodesToday     = 12
	// targetsPerSite is today's density: 42 targets in six availability zones (docs/design.md, section 1).
	targetsPerSite = 7
	secondsPerDay  = 86_400.0
	// sampleTime is how long a short operation is repeated.
	sampleTime = 300 * time.Millisecond
)

var services = [...]string{"status", "gifts", "drawings"}

// nodeScale returns a scale in entries; the number of sites grows with them.
func nodeScale(sizes ...int) Scale {
	return Scale{Unit: "nodes", Sizes: sizes, DesignSize: DesignNodes}
}

// siteCount interpolates the number of sites linearly between today's fleet and the design size.
func siteCount(nodes int) int {
	fraction := float64(nodes-nodesToday) / (DesignNodes - nodesToday)
	return max(sitesToday, int(math.Round(sitesToday+fraction*(DesignSites-sitesToday))))
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i%regionCount) }

func zoneName(i int) string {
	return fmt.Sprintf("%s-%c", regionName(i), 'a'+rune(i/regionCount%zonesPerRegion))
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func endpoint(kind byte, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, byte(i >> 8), byte(i)}), uint16(port))
}

// configFields returns the configuration of a fleet with the given number of entries in 4 regions and 12 zones.
func configFields(nodes int) document.Fields {
	f := document.Fields{Version: 1, Tenants: []document.Tenant{document.NewTenant("parents", "", nil)}}
	for i, name := range services {
		f.Services = append(f.Services, document.NewService(document.ServiceFields{
			Name: name, AtMostOnce: i == 1, Timeout: 2 * time.Second, MaxTimeout: time.Minute, MaxBodyBytes: 1 << 16, MaxShiftRate: 40,
		}))
	}
	for i := range regionCount {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: regionName(i), KeepFraction: 0.1}))
		for j := range i {
			f.Links = append(f.Links, document.NewLink(regionName(j), regionName(i), 500_000_000))
		}
	}
	for i := range regionCount * zonesPerRegion {
		f.Zones = append(f.Zones, document.NewZone(zoneName(i), regionName(i)))
	}
	for i := range nodes {
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{
			Name: entryName(i), Zone: zoneName(i),
			CallerAddress: endpoint(1, i, 7000), PeerAddress: endpoint(1, i, 7001), RelayAddress: endpoint(1, i, 7002),
		}))
	}
	for i := range siteCount(nodes) * targetsPerSite {
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
			Name: fmt.Sprintf("target-%d", i), Service: services[i%len(services)], Zone: zoneName(i / targetsPerSite),
			Address: endpoint(2, i, 8000), Slots: 6, MaxConns: 400,
		}))
	}
	return f
}

func fleetMembers(nodes int) []member.Member {
	var all []member.Member
	for i := range nodes {
		all = append(all, member.New(member.Fields{
			Name: entryName(i), Incarnation: [16]byte{1, byte(i), byte(i >> 8)}, Zone: zoneName(i), Region: regionName(i),
			CallAddr: endpoint(1, i, 7000), PeerAddr: endpoint(1, i, 7001), RelayAddr: endpoint(1, i, 7002), Version: 1,
		}))
	}
	return all
}

// clientBlocks returns client blocks spread over the zones, a quarter of them IPv6.
func clientBlocks(count int) []document.ClientBlock {
	all := make([]document.ClientBlock, 0, count)
	for i := range count {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0}), 24)
		if i%4 == 0 {
			p = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 1, 0, byte(i >> 24), byte(i >> 16), byte(i >> 8), byte(i)}), 56)
		}
		all = append(all, document.NewClientBlock(p, zoneName(i*7)))
	}
	return all
}

// cpuTimePerCall repeats f for the given length of time and returns the mean CPU time of a call.
func cpuTimePerCall(ctx context.Context, length time.Duration, f func()) time.Duration {
	f() // The first call fills caches and is not counted.
	calls := 0
	start, cpuStart := time.Now(), cpuTime()
	for time.Since(start) < length && ctx.Err() == nil {
		f()
		calls++
	}
	return (cpuTime() - cpuStart) / time.Duration(max(1, calls))
}

// allocatedBytes returns the bytes that one call of f allocates.
func allocatedBytes(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}
