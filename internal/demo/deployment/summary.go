package deployment

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"tamarackspool/internal/demo/promise"
	"tamarackspool/internal/standin/caller"
)

// Summary is the result of a run.
type Summary struct {
	Deployment      string           `json:"deployment"`
	Seed            uint64           `json:"seed"`
	Services        []ServiceSummary `json:"services"`
	Links           []Usage          `json:"links"`
	Regions         []Usage          `json:"regions"`
	Drain           DrainResult      `json:"drain"`
	Version         uint64           `json:"version"`
	PropagationTime float64          `json:"force"` // seconds until the version was in force on every entry
	LostEntry       string           `json:"lost"`
	Stop            StopResult       `json:"stop"`
	RepeatedOrders  int              `json:"twice"` // orders run more than once
	Breaches        []promise.Breach `json:"broken"`
}

// ServiceSummary summarizes the requests to a service from the callers' records.
type ServiceSummary struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Median   float64        `json:"p50"` // milliseconds
	Tail     float64        `json:"p99"` // milliseconds
	NotRun   int            `json:"notrun"`
	Unknown  int            `json:"unknown"`
	Retried  int            `json:"retried"`
	Reasons  map[string]int `json:"told"` // attempts without the verdict ran, by verdict and reason
}

// Usage is the peak use of a link direction or a region with its limit.
type Usage struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Peak  float64 `json:"peak"`
	Limit float64 `json:"limit"`
}

// DrainResult is the result of draining a target.
type DrainResult struct {
	Target string  `json:"target"`
	Last   float64 `json:"last"`  // seconds until the last new request reached the target
	Quiet  float64 `json:"quiet"` // seconds until its last request ended
}

// StopResult is the result of an entry's planned stop.
type StopResult struct {
	Entry    string  `json:"entry"`
	Duration float64 `json:"time"` // seconds
}

func (cl *cluster) summary(records []caller.Record, runs, intervals []promise.Run, result scriptResult) Summary {
	s := Summary{
		Deployment: cl.plan.name, Seed: cl.settings.Seed, Version: result.patchVersion, PropagationTime: result.patchTime.Seconds(),
		LostEntry: result.lost, Stop: StopResult{result.stopped, result.stopEnd.Sub(result.stopStart).Seconds()}, Breaches: []promise.Breach{},
	}
	counts, reasons := caller.Summarize(records), failureReasons(records)
	for _, p := range cl.plan.services {
		if c, ok := counts[p.name]; ok {
			one := newServiceSummary(c)
			one.Reasons = reasons[p.name]
			s.Services = append(s.Services, one)
		}
	}
	s.Links, s.Regions = cl.linkUsage(), cl.regionUsage(intervals)
	s.Drain = newDrainResult(intervals, result)
	s.RepeatedOrders = promise.CountRepeatedOrders(records, runs)
	return s
}

// linkUsage returns the peak use of each link direction, by name.
func (cl *cluster) linkUsage() []Usage {
	var all []Usage
	for pair, u := range cl.network.LinkTraffic() {
		all = append(all, Usage{pair.From + " to " + pair.To, "MB/s", u.PeakRate / 1e6, cl.linkRate() / 1e6})
	}
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// regionUsage returns the peak use of each region.
func (cl *cluster) regionUsage(intervals []promise.Run) []Usage {
	var all []Usage
	peaks := promise.PeakConcurrency(intervals)
	for _, r := range cl.plan.regions {
		all = append(all, Usage{r, "requests", float64(peaks[r]), float64(cl.plan.regionLimit(r))})
	}
	return all
}

func newServiceSummary(c *caller.Summary) ServiceSummary {
	return ServiceSummary{
		Name: c.Service, Requests: c.Requests, NotRun: c.NotRun, Unknown: c.Unknown, Retried: c.Retried,
		Median: float64(c.Latency.ValueAtQuantile(50)) / 1000, Tail: float64(c.Latency.ValueAtQuantile(99)) / 1000,
	}
}

// newDrainResult returns when the drained target received and completed its last request.
func newDrainResult(intervals []promise.Run, result scriptResult) DrainResult {
	d := DrainResult{Target: result.drained}
	for _, x := range intervals {
		if x.Target == result.drained && x.End.After(result.drainStart) {
			d.Last = max(d.Last, x.Start.Sub(result.drainStart).Seconds())
			d.Quiet = max(d.Quiet, x.End.Sub(result.drainStart).Seconds())
		}
	}
	return d
}

// Write prints the summary as text.
func (s Summary) Write(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "\ndeployment %s, seed %d\n\n", s.Deployment, s.Seed)
	fmt.Fprintln(t, "service\trequests\tp50 ms\tp99 ms\ttold not-run\tunknown\tretried")
	for _, v := range s.Services {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%d\t%d\t%d\n", v.Name, v.Requests, v.Median, v.Tail, v.NotRun, v.Unknown, v.Retried)
	}
	fmt.Fprintln(t, "\nattempts without an answer")
	for _, v := range s.Services {
		for _, reason := range slices.Sorted(maps.Keys(v.Reasons)) {
			fmt.Fprintf(t, "%s\t%d\t%s\n", v.Name, v.Reasons[reason], reason)
		}
	}
	fmt.Fprintln(t, "\npeak use\tpeak\tlimit")
	for _, u := range slices.Concat(s.Links, s.Regions) {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f %s\n", u.Name, u.Peak, u.Limit, u.Unit)
	}
	fmt.Fprintln(t)
	fmt.Fprintf(t, "drain of %s\tlast new work after %s, quiet after %s\n", s.Drain.Target, seconds(s.Drain.Last), seconds(s.Drain.Quiet))
	fmt.Fprintf(t, "version %d\tin force on every entry after %s\n", s.Version, seconds(s.PropagationTime))
	fmt.Fprintf(t, "%s\tlost and replaced\n", s.LostEntry)
	fmt.Fprintf(t, "%s\tstopped as planned in %s and replaced\n", s.Stop.Entry, seconds(s.Stop.Duration))
	fmt.Fprintf(t, "orders run more than once\t%d\n", s.RepeatedOrders)
	if len(s.Breaches) == 0 {
		fmt.Fprintln(t, "\nall promises held")
	}
	for _, b := range s.Breaches {
		fmt.Fprintf(t, "\nBROKEN %s (%d times)\n  %s\n", b.Promise, b.Count, b.Example)
	}
	return t.Flush()
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond).String()
}
