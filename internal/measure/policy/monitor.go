package policy

import "time"

// Windows of the checks, in ticks.
const (
	second = 10
	past   = 110 // ticks before the current one that the rise of a rate is compared with
)

// series counts something per tick.
type series struct {
	counts [past + second + 1]int64
	now    int
}

func (s *series) add(n int64) { s.counts[s.now] += n }

func (s *series) turn() {
	s.now = (s.now + 1) % len(s.counts)
	s.counts[s.now] = 0
}

// sum returns the count of the second that ends the given ticks before the current one.
func (s *series) sum(back int) int64 {
	var n int64
	for k := range second {
		n += s.counts[(s.now+2*len(s.counts)-back-k)%len(s.counts)]
	}
	return n
}

// highest returns the highest count of a second that ended at least a second ago.
func (s *series) highest() int64 {
	var n int64
	for back := second; back <= past; back++ {
		n = max(n, s.sum(back))
	}
	return n
}

// monitor checks the limits of links, regions and shifts.
type monitor struct {
	inFlight []int
	limit    []int
	peak     []int
	links    map[[2]int]*series
	shifts   map[[3]int]*series // by work, home and serving region
	peaks    map[[3]int]int64

	Over       int     // ticks over any limit
	OverLink   int     // ticks over a link limit
	OverRegion int     // ticks over a region limit
	OverShift  int     // ticks over a cap on movement
	Link       float64 // highest use of a link as a part of its limit
	Region     float64 // highest use of a region as a part of its limit
	Shift      float64 // fastest rise as a part of the cap
	Excess     float64 // slot-seconds over the slots of targets
	Head       float64 // sum of the free parts of usable slots
	ticks      int
	Last       time.Duration // last request that reached a leaving target, since the drain began
	Quiet      time.Duration // when the leaving targets were first empty, since the drain began; 0 means never
}

func newMonitor(w *world) *monitor {
	n := len(w.place.regions)
	m := &monitor{
		inFlight: make([]int, n), limit: make([]int, n), peak: make([]int, n),
		links: make(map[[2]int]*series), shifts: make(map[[3]int]*series),
	}
	for i, r := range w.doc.Regions() {
		m.limit[i] = r.MaxInFlight()
		for o := range n {
			m.links[[2]int{i, o}] = &series{}
			for k := range w.place.works {
				m.shifts[[3]int{k, o, i}] = &series{}
			}
		}
	}
	return m
}

func (m *monitor) sent(w *world, r *request, t *target) {
	m.inFlight[t.region]++
	m.peak[t.region] = max(m.peak[t.region], m.inFlight[t.region])
	m.shifts[[3]int{r.arrival.work, r.arrival.home, t.region}].add(1)
}

func (m *monitor) started(w *world, t *target) {
	if w.script.drain && t.leaving && w.script.active(w.now) {
		m.Last = w.now - w.script.from
	}
}

func (m *monitor) carried(_ *world, from, to int, bytes int64) {
	m.links[[2]int{from, to}].add(bytes)
}

// allowed reports whether one more request of the pair stays under the cap.
func (m *monitor) allowed(w *world, r *request, region int) bool {
	key := [3]int{r.arrival.work, r.arrival.home, region}
	if !m.capped(w, key) {
		return true
	}
	s := m.shifts[key]
	return float64(s.sum(0)+1) <= float64(m.ceiling(key))+w.place.works[key[0]].cap
}

// ceiling returns the highest rate of the pair in the time before the current second.
func (m *monitor) ceiling(key [3]int) int64 {
	if m.peaks == nil {
		m.peaks = make(map[[3]int]int64)
	}
	n, ok := m.peaks[key]
	if !ok {
		n = m.shifts[key].highest()
		m.peaks[key] = n
	}
	return n
}

// capped reports whether the pair is a movement: traffic away from its home,
// or traffic that returns to a region that was lost.
func (m *monitor) capped(w *world, key [3]int) bool {
	if key[1] != key[2] {
		return true
	}
	return w.script.lost && key[1] == 1 && w.now >= w.script.to && w.now < w.script.to+30*time.Second
}

// tick checks all limits at the end of a tick.
func (m *monitor) tick(w *world) {
	if w.now >= warmup {
		before := m.OverLink + m.OverRegion + m.OverShift
		m.checkLinks(w)
		m.checkRegions()
		m.checkShifts(w)
		if m.OverLink+m.OverRegion+m.OverShift > before {
			m.Over++
		}
		m.slots(w)
	}
	for _, s := range m.links {
		s.turn()
	}
	for _, s := range m.shifts {
		s.turn()
	}
	m.peaks = nil
	copy(m.peak, m.inFlight)
}

func (m *monitor) checkLinks(w *world) {
	over := false
	for _, s := range m.links {
		use := float64(s.sum(0)) / float64(w.place.link)
		m.Link = max(m.Link, use)
		over = over || use > 1
	}
	if over {
		m.OverLink++
	}
}

func (m *monitor) checkRegions() {
	over := false
	for i, n := range m.peak {
		m.Region = max(m.Region, float64(n)/float64(m.limit[i]))
		over = over || n > m.limit[i]
	}
	if over {
		m.OverRegion++
	}
}

func (m *monitor) checkShifts(w *world) {
	over := false
	for key, s := range m.shifts {
		if !m.capped(w, key) {
			continue
		}
		rise := float64(s.sum(0)-m.ceiling(key)) / w.place.works[key[0]].cap
		m.Shift = max(m.Shift, rise)
		over = over || rise > 1
	}
	if over {
		m.OverShift++
	}
}

func (m *monitor) slots(w *world) {
	busy, usable, leaving := 0, 0, 0
	for i := range w.targets {
		t := &w.targets[i]
		m.Excess += float64(max(0, t.sent-t.spec.Slots())) * tick.Seconds()
		if t.up && !w.away(i) {
			usable += t.spec.Slots()
			busy += t.busy
		}
		if w.away(i) {
			leaving += t.busy
		}
	}
	m.ticks++
	m.Head += 1 - float64(busy)/float64(max(1, usable))
	if w.script.drain && w.script.active(w.now) && leaving == 0 && m.Quiet == 0 {
		m.Quiet = w.now - w.script.from
	}
}
