package lookup

import (
	"net/netip"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/member"
)

// roomless is the weight of an entry whose free slots are unknown or zero: it relays, so it stays reachable.
const roomless = 0.25

// maxStep bounds the time that one rebuild may count for the shift cap, so that a paused process does not leap.
const maxStep = time.Second

// snapshot is immutable after it was built.
type snapshot struct {
	settings Settings
	version  uint64
	at       time.Time
	document *document.Document
	blocks   Blocks
	services map[string]map[string]*plan // by service and home region
	pools    map[poolKey]*pool
}

// candidate is an entry that may be named.
type candidate struct {
	choice Choice
	region string
}

func build(settings Settings, now time.Time, in Input, before *snapshot) *snapshot {
	s := &snapshot{
		settings: settings, version: in.Document.Version(), at: now, document: in.Document, blocks: in.Blocks,
		services: make(map[string]map[string]*plan), pools: make(map[poolKey]*pool),
	}
	candidates := s.candidates(in)
	rooms := make(map[poolKey]float64) // by service and entry
	for _, r := range in.Rooms {
		rooms[poolKey{r.Service(), r.Entry()}] += float64(max(0, r.Free()))
	}
	for _, sv := range in.Document.Services() {
		for _, c := range candidates {
			weight := max(roomless, rooms[poolKey{sv.Name(), c.choice.name}])
			s.put(poolKey{sv.Name(), c.region}, c, weight)
		}
		s.services[sv.Name()] = s.plans(sv, in, rooms, before)
	}
	return s
}

func (s *snapshot) put(key poolKey, c candidate, weight float64) {
	p := s.pools[key]
	if p == nil {
		p = &pool{zones: make(map[string]weighted)}
		s.pools[key] = p
	}
	p.all.add(c.choice, weight)
	zone := p.zones[c.choice.zone]
	zone.add(c.choice, weight)
	p.zones[c.choice.zone] = zone
}

// candidates returns the entries that are not leaving, suspect or dead. Configured entries that nothing is known
// of count only while this entry knows no other member, that is, just after its start.
func (s *snapshot) candidates(in Input) []candidate {
	known := make(map[string]bool, len(in.Members))
	var out []candidate
	for _, m := range in.Members {
		known[m.Name()] = true
		if m.State() == member.Alive && m.Call().IsValid() && !in.Leaving[m.Name()] {
			out = append(out, candidate{Choice{m.Name(), m.Zone(), m.Call()}, m.Region()})
		}
	}
	if len(in.Members) <= 1 {
		for _, e := range in.Document.Entries() {
			if !known[e.Name()] && e.Call().IsValid() && !in.Leaving[e.Name()] {
				out = append(out, candidate{Choice{e.Name(), e.Zone(), e.Call()}, in.Document.RegionOf(e.Zone())})
			}
		}
	}
	return out
}

// plans moves the share of each home region towards where its answers should point, by at most the shift cap.
func (s *snapshot) plans(sv document.Service, in Input, rooms map[poolKey]float64, before *snapshot) map[string]*plan {
	out := make(map[string]*plan)
	for _, home := range in.Document.Regions() {
		var old *plan
		var elapsed time.Duration
		if before != nil {
			old = before.services[sv.Name()][home.Name()]
			elapsed = min(max(0, s.at.Sub(before.at)), maxStep)
		}
		p := &plan{home: home.Name(), homeLive: s.pools[poolKey{sv.Name(), home.Name()}] != nil}
		step := sv.Shift() * elapsed.Seconds() / s.demand(sv.Name(), home.Name(), in)
		aims := s.aims(sv.Name(), p, in.Document)
		for _, r := range in.Document.Regions() {
			part := approach(old.part(r.Name()), aims[r.Name()], step)
			if s.pools[poolKey{sv.Name(), r.Name()}] == nil {
				part = 0 // A region without entries cannot be named; its share is idle until others grow.
			}
			if part > 0 || aims[r.Name()] > 0 {
				p.shares = append(p.shares, share{r.Name(), part})
			}
		}
		out[home.Name()] = p
	}
	return out
}

// aims returns the shares of other regions to reach: none while the home region has entries, else by their weight.
func (s *snapshot) aims(service string, p *plan, d *document.Document) map[string]float64 {
	out := make(map[string]float64)
	if p.homeLive {
		return out
	}
	total := 0.0
	for _, r := range d.Regions() {
		if g := s.pools[poolKey{service, r.Name()}]; g != nil {
			out[r.Name()] = g.all.sums[len(g.all.sums)-1]
			total += out[r.Name()]
		}
	}
	for name := range out {
		out[name] /= total
	}
	return out
}

// demand returns the requests/s of a home region; without a figure it is taken as one per slot and second.
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

// locate returns the zone nearest to the client and its region, by default those of this entry.
func (s *snapshot) locate(client netip.Addr) (zone, region string) {
	if s.blocks != nil && client.IsValid() {
		if zone, ok := s.blocks.Zone(client); ok {
			if region := s.document.RegionOf(zone); region != "" {
				return zone, region
			}
		}
	}
	return s.settings.Zone, s.settings.Region
}
