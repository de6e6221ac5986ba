package policy

import "time"

// Windows of the checks, in ticks of 100 ms.
const (
	windowTicks  = 10
	historyTicks = 110 // length of the history with which the current rate is compared
)

// tickCounter is a ring buffer of counts per tick.
type tickCounter struct {
	counts [historyTicks + windowTicks + 1]int64
	now    int
}

func (s *tickCounter) add(n int64) { s.counts[s.now] += n }

func (s *tickCounter) advance() {
	s.now = (s.now + 1) % len(s.counts)
	s.counts[s.now] = 0
}

// windowSum returns the count of the one-second window that ends the given number of ticks before the current one.
func (s *tickCounter) windowSum(back int) int64 {
	var n int64
	for k := range windowTicks {
		n += s.counts[(s.now+2*len(s.counts)-back-k)%len(s.counts)]
	}
	return n
}

// pastPeak returns the highest count of a one-second window that ended at least a second ago.
func (s *tickCounter) pastPeak() int64 {
	var n int64
	for back := windowTicks; back <= historyTicks; back++ {
		n = max(n, s.windowSum(back))
	}
	return n
}

// monitor checks the limits of links, of regions and of the shift of traffic between regions.
type monitor struct {
	inFlight      []int
	regionLimits  []int
	peakInFlight  []int
	linkBytes     map[[2]int]*tickCounter
	shiftRequests map[[3]int]*tickCounter // by workload, home region and serving region
	pastPeaks     map[[3]int]int64

	ticksOver         int     // ticks over any limit
	ticksOverLink     int     // ticks over a link limit
	ticksOverRegion   int     // ticks over a region limit
	ticksOverShift    int     // ticks over a shift cap
	peakLinkUse       float64 // highest rate of a link as a fraction of its limit
	peakRegionUse     float64 // most requests in flight in a region as a fraction of its limit
	peakShiftUse      float64 // fastest rise of a shifted rate as a fraction of its cap
	excessSlotSeconds float64 // requests sent beyond the targets' slots, integrated over time
	headroomSum       float64 // sum over ticks of the free fraction of the usable slots
	ticks             int
	lastDrainRequest  time.Duration // last start of a request at a draining target, since the start of the drain
	drainedAfter      time.Duration // when the draining targets were first idle, since the start of the drain; 0 means never
}

func newMonitor(w *world) *monitor {
	n := len(w.deployment.regions)
	m := &monitor{
		inFlight: make([]int, n), regionLimits: make([]int, n), peakInFlight: make([]int, n),
		linkBytes: make(map[[2]int]*tickCounter), shiftRequests: make(map[[3]int]*tickCounter),
	}
	for i, r := range w.document.Regions() {
		m.regionLimits[i] = r.MaxInFlight()
		for o := range n {
			m.linkBytes[[2]int{i, o}] = &tickCounter{}
			for k := range w.deployment.workloads {
				m.shiftRequests[[3]int{k, o, i}] = &tickCounter{}
			}
		}
	}
	return m
}

func (m *monitor) recordSent(w *world, r *request, t *target) {
	m.inFlight[t.region]++
	m.peakInFlight[t.region] = max(m.peakInFlight[t.region], m.inFlight[t.region])
	m.shiftRequests[[3]int{r.arrival.workload, r.arrival.homeRegion, t.region}].add(1)
}

func (m *monitor) recordStart(w *world, t *target) {
	if w.scenario.plannedDrain && t.inDrain && w.scenario.faultActive(w.now) {
		m.lastDrainRequest = w.now - w.scenario.faultStart
	}
}

func (m *monitor) recordBytes(_ *world, from, to int, bytes int64) {
	m.linkBytes[[2]int{from, to}].add(bytes)
}

// shiftAllowed reports whether one more request from its home region to the region stays within the shift cap.
func (m *monitor) shiftAllowed(w *world, r *request, region int) bool {
	key := [3]int{r.arrival.workload, r.arrival.homeRegion, region}
	if !m.isShift(w, key) {
		return true
	}
	s := m.shiftRequests[key]
	return float64(s.windowSum(0)+1) <= float64(m.pastPeak(key))+w.deployment.workloads[key[0]].shiftCap
}

// pastPeak returns the highest rate of the key before the current second, cached per tick.
func (m *monitor) pastPeak(key [3]int) int64 {
	if m.pastPeaks == nil {
		m.pastPeaks = make(map[[3]int]int64)
	}
	n, ok := m.pastPeaks[key]
	if !ok {
		n = m.shiftRequests[key].pastPeak()
		m.pastPeaks[key] = n
	}
	return n
}

// isShift reports whether the shift cap applies to the key: to traffic served outside
// its home region, and to traffic that returns to a lost region, for 30 s.
func (m *monitor) isShift(w *world, key [3]int) bool {
	if key[1] != key[2] {
		return true
	}
	return w.scenario.regionLost && key[1] == 1 && w.now >= w.scenario.faultEnd && w.now < w.scenario.faultEnd+30*time.Second
}

// endTick checks all limits at the end of a tick and starts the next one.
func (m *monitor) endTick(w *world) {
	if w.now >= warmup {
		before := m.ticksOverLink + m.ticksOverRegion + m.ticksOverShift
		m.checkLinks(w)
		m.checkRegions()
		m.checkShifts(w)
		if m.ticksOverLink+m.ticksOverRegion+m.ticksOverShift > before {
			m.ticksOver++
		}
		m.checkSlots(w)
	}
	for _, s := range m.linkBytes {
		s.advance()
	}
	for _, s := range m.shiftRequests {
		s.advance()
	}
	m.pastPeaks = nil
	copy(m.peakInFlight, m.inFlight)
}

func (m *monitor) checkLinks(w *world) {
	over := false
	for _, s := range m.linkBytes {
		use := float64(s.windowSum(0)) / float64(w.deployment.linkRate)
		m.peakLinkUse = max(m.peakLinkUse, use)
		over = over || use > 1
	}
	if over {
		m.ticksOverLink++
	}
}

func (m *monitor) checkRegions() {
	over := false
	for i, n := range m.peakInFlight {
		m.peakRegionUse = max(m.peakRegionUse, float64(n)/float64(m.regionLimits[i]))
		over = over || n > m.regionLimits[i]
	}
	if over {
		m.ticksOverRegion++
	}
}

func (m *monitor) checkShifts(w *world) {
	over := false
	for key, s := range m.shiftRequests {
		if !m.isShift(w, key) {
			continue
		}
		rise := float64(s.windowSum(0)-m.pastPeak(key)) / w.deployment.workloads[key[0]].shiftCap
		m.peakShiftUse = max(m.peakShiftUse, rise)
		over = over || rise > 1
	}
	if over {
		m.ticksOverShift++
	}
}

func (m *monitor) checkSlots(w *world) {
	busy, usable, drainingBusy := 0, 0, 0
	for i := range w.targets {
		t := &w.targets[i]
		m.excessSlotSeconds += float64(max(0, t.dispatched-t.spec.Slots())) * tickInterval.Seconds()
		if t.up && !w.draining(i) {
			usable += t.spec.Slots()
			busy += t.busySlots
		}
		if w.draining(i) {
			drainingBusy += t.busySlots
		}
	}
	m.ticks++
	m.headroomSum += 1 - float64(busy)/float64(max(1, usable))
	if w.scenario.plannedDrain && w.scenario.faultActive(w.now) && drainingBusy == 0 && m.drainedAfter == 0 {
		m.drainedAfter = w.now - w.scenario.faultStart
	}
}
