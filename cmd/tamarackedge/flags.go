package main

import (
	"fmt"
	"net/netip"
	"time"

	"tamarackspool/internal/entry/edge"
	"tamarackspool/internal/steer/quota"
	"tamarackspool/internal/steer/spend"
)

// flags are the settings of an entry; each can also be set by an environment variable TAMARACK_<FLAG>.
type flags struct {
	Name      string            `help:"Name of this entry." required:""`
	Zone      string            `help:"Availability zone of this entry." required:""`
	Region    string            `help:"Region of this entry." required:""`
	Zones     map[string]string `help:"Region of each availability zone." required:"" mapsep:"," placeholder:"ZONE=REGION"`
	Call      string            `help:"Address to listen on for callers." required:"" placeholder:"IP:PORT"`
	Ready     string            `help:"Address to listen on for the readiness check." required:"" placeholder:"IP:PORT"`
	Directory string            `help:"Address to listen on for look-ups." required:"" placeholder:"IP:PORT"`
	Peer      string            `help:"Address to listen on for other entries." required:"" placeholder:"IP:PORT"`
	Seeds     []string          `help:"Addresses of other entries, asked while none is known." placeholder:"IP:PORT"`
	Store     string            `help:"Address of the platform's store." required:"" placeholder:"IP:PORT"`
	Metrics   string            `help:"Address to listen on for the metrics page." placeholder:"IP:PORT"`

	LookupTTL   float64 `name:"lookup-ttl" help:"How long callers keep a look-up, in seconds." default:"2"`
	Grace       float64 `help:"Time between the signal to stop and the end of the process, in seconds." default:"6"`
	RepeatRatio float64 `help:"Part of a service's requests that all entries together may send to a second target." default:"0.2"`
	RepeatSpan  float64 `help:"Time over which repeats are counted, in seconds." default:"10"`
	Revoke      float64 `help:"Longest time for which a revoked key may be acted on, in seconds; 0 for no bound." default:"0"`
	QuotaWindow float64 `help:"Time over which the requests of an account are counted for its quota, in seconds." default:"5"`
	QuotaOver   float64 `help:"Part by which the requests of an account in this time may exceed its quota." default:"0"`
	QuotaSlack  float64 `help:"Requests by which they may exceed it in addition." default:"0"`
	Overload    float64 `help:"Part of a service's attempts that must fail for lack of free slots before less urgent requests, and those of accounts beyond their fair share, are refused unsent; 0 for never." default:"0"`
	Hedge       float64 `help:"Part of a service's requests that may be sent to a second target while the first has not answered; 0 for none." default:"0"`
	Link        float64 `help:"Bandwidth of this VM's link in Mbit/s." default:"1000"`
	Cores       float64 `help:"Share of a processor core that the entry has." default:"1"`
	Memory      float64 `help:"Memory limit of the process in MB." default:"284"`
	Answer      float64 `help:"Largest answer of the store that is read, in MB; changes that do not fit are read anew." default:"8"`
	GC          int     `name:"gc" help:"Growth of the heap in percent that starts a garbage collection." default:"100"`
	Log         string  `help:"Which events are written: none, beliefs or requests." default:"requests"`
	LogRoom     int     `help:"Log lines held until they are written, in bytes." default:"1048576"`
	LogRate     int     `help:"Log lines written per second, in bytes." default:"1000000"`
}

// settings returns the checked settings, or an error that names the flag and the accepted range.
func (f *flags) settings() (edge.Settings, error) {
	for _, a := range []struct{ flag, value string }{
		{"call", f.Call}, {"ready", f.Ready}, {"directory", f.Directory}, {"peer", f.Peer}, {"store", f.Store},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return edge.Settings{}, fmt.Errorf("--%s %q: an IP address and a port are needed", a.flag, a.value)
		}
	}
	for _, a := range f.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return edge.Settings{}, fmt.Errorf("--seeds %q: IP addresses and ports are needed", a)
		}
	}
	if _, err := netip.ParseAddrPort(f.Metrics); f.Metrics != "" && err != nil {
		return edge.Settings{}, fmt.Errorf("--metrics %q: an IP address and a port are needed", f.Metrics)
	}
	for _, r := range []struct {
		flag             string
		value, low, high float64
	}{
		{"lookup-ttl", f.LookupTTL, 0.1, 3600},
		{"grace", f.Grace, 1, 3600},
		{"repeat-ratio", f.RepeatRatio, 0, 1},
		{"repeat-span", f.RepeatSpan, 1, 3600},
		{"revoke", f.Revoke, 0, 3600},
		{"quota-window", f.QuotaWindow, 0.5, 3600},
		{"quota-over", f.QuotaOver, 0, 10},
		{"quota-slack", f.QuotaSlack, 0, 1e6},
		{"overload", f.Overload, 0, 1},
		{"hedge", f.Hedge, 0, 0.2},
		{"link", f.Link, 0.1, 1e6},
		{"cores", f.Cores, 0.01, 1024},
		{"memory", f.Memory, 32, 1 << 20},
		{"answer", f.Answer, 2, 1024},
		{"gc", float64(f.GC), 10, 1000},
		{"log-room", float64(f.LogRoom), 4096, 1 << 30},
		{"log-rate", float64(f.LogRate), 1000, 1 << 30},
	} {
		if r.value < r.low || r.value > r.high {
			return edge.Settings{}, fmt.Errorf("--%s %v is out of range; the range is %v to %v", r.flag, r.value, r.low, r.high)
		}
	}
	if f.Zones[f.Zone] != f.Region {
		return edge.Settings{}, fmt.Errorf("--zone %q does not lie in --region %q by --zones", f.Zone, f.Region)
	}
	return edge.Settings{
		Name: f.Name, Zone: f.Zone, Region: f.Region, RegionCount: f.regionCount(), CallAddress: f.Call, ReadyAddress: f.Ready, DirectoryAddress: f.Directory, PeerAddress: f.Peer,
		SeedAddresses: f.Seeds, MetricsAddress: f.Metrics, LookupTTL: seconds(f.LookupTTL), GracePeriod: seconds(f.Grace),
		RetryBudget: spend.Limits{Ratio: f.RepeatRatio, Window: seconds(f.RepeatSpan)},
		RevokeBound: seconds(f.Revoke), QuotaTolerance: quota.Tolerance{Window: seconds(f.QuotaWindow), Over: f.QuotaOver, Slack: f.QuotaSlack}, OverloadShare: f.Overload, HedgeShare: f.Hedge,
		MemoryLimit: int64(f.Memory * 1e6), Strength: min(f.Link, f.Cores*mbitPerCore),
	}, nil
}

// mbitPerCore is the traffic in Mbit/s that a whole core forwards with
// headroom; see docs/MEASUREMENTS.md.
const mbitPerCore = 250

// regionCount returns the number of regions that contain an availability zone.
func (f *flags) regionCount() int {
	regions := make(map[string]bool)
	for _, r := range f.Zones {
		regions[r] = true
	}
	return len(regions)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
