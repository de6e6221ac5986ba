package table

import (
	"math"
	"slices"

	"tamarackspool/internal/record/event"
)

// rebuild creates the rows of a new configuration and keeps the state of rows that were there before.
func (t *Tables) rebuild() {
	t.rebuildEntries()
	t.rebuildServices()
	t.rebuildTargets()
	t.rebuildPeers()
	t.rebuildShifts()
	t.rebuildDrains()
	t.rebuildLinks()
	t.rebuildRegion()
}

func (t *Tables) rebuildEntries() {
	old := indexRows(t.Entries, func(e Entry) string { return e.Spec.Name() })
	t.Entries = nil
	for _, e := range t.Document.Entries() {
		row := old[e.Name()]
		row.Spec, row.Region = e, t.Document.RegionOf(e.Zone())
		t.Entries = append(t.Entries, row)
	}
}

func (t *Tables) rebuildServices() {
	old := indexRows(t.Services, func(s Service) string { return s.Spec.Name() })
	t.Services = nil
	for _, s := range t.Document.Services() {
		row := old[s.Name()]
		row.Spec = s
		t.Services = append(t.Services, row)
	}
}

func (t *Tables) rebuildTargets() {
	old := indexRows(t.Targets, func(r Target) string { return r.Spec.Name() })
	t.Targets = nil
	hasTarget := make([]bool, len(t.Services))
	for _, s := range t.Document.Targets() {
		i := t.serviceIndex(s.Service())
		if t.Document.RegionOf(s.Zone()) != t.Region || i < 0 {
			continue
		}
		row, known := old[s.Name()]
		if !known || row.Spec.Address() != s.Address() {
			row = Target{Trust: 1, NeedsRamp: true}
		}
		if s.Slots() < 0 {
			t.Emit(event.BadLimit, "target", s.Name(), "slots", s.Slots())
		}
		row.Spec, row.Service, row.Zone = s, i, s.Zone()
		t.Targets = append(t.Targets, row)
		hasTarget[i] = true
	}
	for i, ok := range hasTarget {
		if !ok {
			t.Emit(event.RegionBare, "service", t.Services[i].Spec.Name(), "region", t.Region)
		}
	}
}

func (t *Tables) rebuildPeers() {
	old := indexRows(t.Peers, func(p Peer) string { return p.Entry + "\x00" + p.ServiceName })
	t.Peers = nil
	clear(t.peerIndex)
	for i, s := range t.Services {
		for _, e := range t.Entries {
			if e.Spec.Name() == t.Self {
				continue
			}
			key := e.Spec.Name() + "\x00" + s.Spec.Name()
			row := old[key]
			row.Entry, row.ServiceName = e.Spec.Name(), s.Spec.Name()
			row.Service, row.Region, row.Zone = i, e.Region, e.Spec.Zone()
			t.peerIndex[key] = len(t.Peers)
			t.Peers = append(t.Peers, row)
		}
	}
}

func (t *Tables) rebuildShifts() {
	old := indexRows(t.Shifts, func(r Shift) string { return r.ServiceName + "\x00" + r.Home })
	t.Shifts = nil
	for i, s := range t.Services {
		growthCap := s.Spec.MaxShiftRate()
		if growthCap < 0 || math.IsNaN(growthCap) || math.IsInf(growthCap, 0) {
			t.Emit(event.BadLimit, "service", s.Spec.Name(), "shift", growthCap)
			growthCap = 0
		}
		for _, r := range t.Document.Regions() {
			row := old[s.Spec.Name()+"\x00"+r.Name()]
			row.ServiceName, row.Service, row.Home = s.Spec.Name(), i, r.Name()
			row.Share = t.Part(int(min(growthCap, 1e9)))
			t.Shifts = append(t.Shifts, row)
		}
	}
}

func (t *Tables) rebuildDrains() {
	old := indexRows(t.Drains, func(d Drain) string { return d.Spec.Name() })
	t.Drains = nil
	for _, d := range t.Document.Drains() {
		row := old[d.Name()]
		row.Spec = d
		t.Drains = append(t.Drains, row)
	}
}

func (t *Tables) rebuildLinks() {
	old := indexRows(t.Links, func(l Link) string { return l.Region })
	t.Links = nil
	for _, r := range t.Document.Regions() {
		l, ok := t.Document.Link(t.Region, r.Name())
		if !ok || r.Name() == t.Region {
			continue
		}
		if l.BytesPerSecond() < 0 {
			t.Emit(event.BadLimit, "link", r.Name(), "rate", l.BytesPerSecond())
		}
		n := int64(0)
		for _, e := range t.Entries {
			if e.Region == t.Region || e.Region == r.Name() {
				n++
			}
		}
		row := old[r.Name()]
		row.Region, row.Share = r.Name(), max(0, l.BytesPerSecond())/max(1, n)
		t.Links = append(t.Links, row)
	}
}

func (t *Tables) rebuildRegion() {
	t.Share = -1
	r, ok := t.Document.Region(t.Region)
	switch {
	case ok && r.MaxInFlight() < 0:
		t.Emit(event.BadLimit, "region", t.Region, "limit", r.MaxInFlight())
		t.Share = 0
	case ok && r.MaxInFlight() > 0:
		t.Share = t.Part(r.MaxInFlight())
	}
}

func (t *Tables) serviceIndex(name string) int {
	return slices.IndexFunc(t.Services, func(s Service) bool { return s.Spec.Name() == name })
}

func indexRows[T any](rows []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(rows))
	for _, r := range rows {
		m[name(r)] = r
	}
	return m
}
