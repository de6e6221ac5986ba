package block

import (
	"net/netip"
	"slices"
	"sort"
)

// writer drops range starts that change nothing.
type writer struct {
	emit func(from wide, zone uint16)
	at   wide
	zone uint16 // zone of the range that starts at at
	last uint16 // zone of the range emitted before it
	have bool
	some bool
}

// put starts a range; a second start at the same address replaces the first.
func (w *writer) put(at wide, zone uint16) {
	if w.have && at != w.at {
		w.flush()
	}
	w.at, w.zone, w.have = at, zone, true
}

func (w *writer) flush() {
	if w.have && (!w.some || w.zone != w.last) {
		w.emit(w.at, w.zone)
		w.last, w.some = w.zone, true
	}
	w.have = false
}

// compact frees spare capacity and builds the index over the first 16 bits.
func (t *Table) compact() {
	t.low, t.lowTo = slices.Clip(slices.Clone(t.low)), slices.Clip(slices.Clone(t.lowTo))
	t.high, t.highTo = slices.Clip(slices.Clone(t.high)), slices.Clip(slices.Clone(t.highTo))
	t.first = make([]uint32, 1<<16+1)
	n := 0
	for i := range t.first {
		for n < len(t.low) && uint64(t.low[n]) < uint64(i)<<16 {
			n++
		}
		t.first[i] = uint32(n)
	}
}

// Zone returns the availability zone of the longest prefix that holds the address, and whether there is one.
func (t *Table) Zone(client netip.Addr) (string, bool) {
	client = client.Unmap()
	if !client.IsValid() {
		return "", false
	}
	w := number(client)
	var zone uint16 = none
	if client.Is4() {
		a := uint32(w.lo)
		from, to := t.first[a>>16], t.first[a>>16+1]
		i := int(from) + sort.Search(int(to-from), func(i int) bool { return t.low[int(from)+i] > a })
		if i > 0 {
			zone = t.lowTo[i-1]
		}
	} else if i := sort.Search(len(t.high), func(i int) bool { return t.high[i].compare(w) > 0 }); i > 0 {
		zone = t.highTo[i-1]
	}
	if zone == none {
		return "", false
	}
	return t.zones[zone], true
}

// Bytes returns the memory that the table holds, names of zones excepted.
func (t *Table) Bytes() int {
	return 4*cap(t.low) + 2*cap(t.lowTo) + 4*cap(t.first) + 16*cap(t.high) + 2*cap(t.highTo)
}

// Ranges returns the number of ranges after nested prefixes were resolved.
func (t *Table) Ranges() int { return len(t.low) + len(t.high) }
