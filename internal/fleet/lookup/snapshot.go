package lookup

import (
	"net/netip"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/member"
)

// minWeight is the weight of an entry whose free slots are unknown or zero; it stays selectable because it can relay
// requests to other entries.
const minWeight = 0.25

// maxElapsed limits the time that one rebuild adds to the shift cap, so that shares do not jump after a process pause.
const maxElapsed = time.Second

// snapshot is the state for answers; it is immutable once built.
type snapshot struct {
	settings Settings
	version  uint64
	builtAt  time.Time
	document *document.Document
	blocks   Blocks
	plans    map[string]map[string]*regionPlan // by service and home region
	pools    map[poolKey]*entryPool
}

// candidate is an entry that can be selected, with its region.
type candidate struct {
	choice Choice
	region string
}

func buildSnapshot(settings Settings, now time.Time, in Input, previous *snapshot) *snapshot {
	s := &snapshot{
		settings: settings, version: in.Document.Version(), builtAt: now, document: in.Document, blocks: in.Blocks,
		plans: make(map[string]map[string]*regionPlan), pools: make(map[poolKey]*entryPool),
	}
	candidates := s.candidates(in)
	freeSlots := make(map[poolKey]float64) // by service and entry
	for _, r := range in.FreeSlots {
		freeSlots[poolKey{r.Service(), r.Entry()}] += float64(max(0, r.Count()))
	}
	for _, service := range in.Document.Services() {
		for _, c := range candidates {
			weight := max(minWeight, freeSlots[poolKey{service.Name(), c.choice.name}])
			s.addEntry(poolKey{service.Name(), c.region}, c, weight)
		}
		s.plans[service.Name()] = s.nextPlans(service, in, freeSlots, previous)
	}
	return s
}

func (s *snapshot) addEntry(key poolKey, c candidate, weight float64) {
	p := s.pools[key]
	if p == nil {
		p = &entryPool{zones: make(map[string]weightedEntries)}
		s.pools[key] = p
	}
	p.all.add(c.choice, weight)
	zone := p.zones[c.choice.zone]
	zone.add(c.choice, weight)
	p.zones[c.choice.zone] = zone
}

// candidates returns the entries that are alive and not leaving. Configured entries of unknown state are included only
// while the local entry knows no other member, that is, directly after its start.
func (s *snapshot) candidates(in Input) []candidate {
	known := make(map[string]bool, len(in.Members))
	var out []candidate
	for _, m := range in.Members {
		known[m.Name()] = true
		if m.State() == member.Alive && m.CallAddr().IsValid() && !in.Leaving[m.Name()] {
			out = append(out, candidate{Choice{m.Name(), m.Zone(), m.CallAddr()}, m.Region()})
		}
	}
	if len(in.Members) <= 1 {
		for _, e := range in.Document.Entries() {
			if !known[e.Name()] && e.CallerAddress().IsValid() && !in.Leaving[e.Name()] {
				out = append(out, candidate{Choice{e.Name(), e.Zone(), e.CallerAddress()}, in.Document.RegionOf(e.Zone())})
			}
		}
	}
	return out
}

// nextPlans returns the plan of each home region with its shares moved towards the desired ones, limited by the shift cap.
func (s *snapshot) nextPlans(service document.Service, in Input, freeSlots map[poolKey]float64, previous *snapshot) map[string]*regionPlan {
	out := make(map[string]*regionPlan)
	for _, home := range in.Document.Regions() {
		var old *regionPlan
		var elapsed time.Duration
		if previous != nil {
			old = previous.plans[service.Name()][home.Name()]
			elapsed = min(max(0, s.builtAt.Sub(previous.builtAt)), maxElapsed)
		}
		p := &regionPlan{home: home.Name(), homeAvailable: s.pools[poolKey{service.Name(), home.Name()}] != nil}
		step := service.MaxShiftRate() * elapsed.Seconds() / s.demand(service.Name(), home.Name(), in)
		desired := s.desiredShares(service.Name(), p, in.Document)
		for _, r := range in.Document.Regions() {
			fraction := stepTowards(old.shareOf(r.Name()), desired[r.Name()], step)
			if s.pools[poolKey{service.Name(), r.Name()}] == nil {
				fraction = 0 // A region without entries cannot be selected; its share is unused until the others have grown.
			}
			if fraction > 0 || desired[r.Name()] > 0 {
				p.shares = append(p.shares, share{r.Name(), fraction})
			}
		}
		out[home.Name()] = p
	}
	return out
}

// desiredShares returns the desired shares of other regions: none while the home region has entries, otherwise in
// proportion to their weights.
func (s *snapshot) desiredShares(service string, p *regionPlan, d *document.Document) map[string]float64 {
	out := make(map[string]float64)
	if p.homeAvailable {
		return out
	}
	total := 0.0
	for _, r := range d.Regions() {
		if pool := s.pools[poolKey{service, r.Name()}]; pool != nil {
			out[r.Name()] = pool.all.sums[len(pool.all.sums)-1]
			total += out[r.Name()]
		}
	}
	for name := range out {
		out[name] /= total
	}
	return out
}

// demand returns the requests/s of a home region; an unknown value is estimated as one request/s per slot.
func (s *snapshot) demand(service, home string, in Input) float64 {
	if d := in.Demand[home][service]; d > 0 {
		return d
	}
	slots := 0
	for _, t := range in.Document.Targets() {
		if t.Service() == service && in.Document.RegionOf(t.Zone()) == home {
			slots += t.Slots()
		}
	}
	return max(1, float64(slots))
}

// locateClient returns the client's nearest zone and its region; the default is those of the local entry.
func (s *snapshot) locateClient(client netip.Addr) (zone, region string) {
	if s.blocks != nil && client.IsValid() {
		if zone, ok := s.blocks.Zone(client); ok {
			if region := s.document.RegionOf(zone); region != "" {
				return zone, region
			}
		}
	}
	return s.settings.Zone, s.settings.Region
}
