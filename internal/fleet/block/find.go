package block

import (
	"net/netip"
	"slices"
	"sort"
)

// rangeWriter emits range starts and merges adjacent ranges of the same zone.
type rangeWriter struct {
	emit        func(from uint128, zone uint16)
	start       uint128
	zone        uint16 // zone of the pending range
	emittedZone uint16 // zone of the last emitted range
	pending     bool
	emitted     bool
}

// startRange begins a range at the address; it replaces a pending range that begins at the same address.
func (w *rangeWriter) startRange(start uint128, zone uint16) {
	if w.pending && start != w.start {
		w.flush()
	}
	w.start, w.zone, w.pending = start, zone, true
}

func (w *rangeWriter) flush() {
	if w.pending && (!w.emitted || w.zone != w.emittedZone) {
		w.emit(w.start, w.zone)
		w.emittedZone, w.emitted = w.zone, true
	}
	w.pending = false
}

// compact releases spare capacity and builds the index over the first 16 bits of IPv4 addresses.
func (t *Table) compact() {
	t.v4Starts, t.v4Zones = slices.Clip(slices.Clone(t.v4Starts)), slices.Clip(slices.Clone(t.v4Zones))
	t.v6Starts, t.v6Zones = slices.Clip(slices.Clone(t.v6Starts)), slices.Clip(slices.Clone(t.v6Zones))
	t.v4Index = make([]uint32, 1<<16+1)
	n := 0
	for i := range t.v4Index {
		for n < len(t.v4Starts) && uint64(t.v4Starts[n]) < uint64(i)<<16 {
			n++
		}
		t.v4Index[i] = uint32(n)
	}
}

// Zone returns the availability zone of the longest prefix that contains the address, and whether there is one.
func (t *Table) Zone(client netip.Addr) (string, bool) {
	client = client.Unmap()
	if !client.IsValid() {
		return "", false
	}
	number := uint128Of(client)
	var zone uint16 = noZone
	if client.Is4() {
		a := uint32(number.lo)
		from, to := t.v4Index[a>>16], t.v4Index[a>>16+1]
		i := int(from) + sort.Search(int(to-from), func(i int) bool { return t.v4Starts[int(from)+i] > a })
		if i > 0 {
			zone = t.v4Zones[i-1]
		}
	} else if i := sort.Search(len(t.v6Starts), func(i int) bool { return t.v6Starts[i].compare(number) > 0 }); i > 0 {
		zone = t.v6Zones[i-1]
	}
	if zone == noZone {
		return "", false
	}
	return t.zones[zone], true
}

// Bytes returns the memory used by the table in bytes, without the names of the zones.
func (t *Table) Bytes() int {
	return 4*cap(t.v4Starts) + 2*cap(t.v4Zones) + 4*cap(t.v4Index) + 16*cap(t.v6Starts) + 2*cap(t.v6Zones)
}

// Ranges returns the number of address ranges after nested prefixes are resolved.
func (t *Table) Ranges() int { return len(t.v4Starts) + len(t.v6Starts) }
