package block

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"tamarackspool/internal/config/document"
)

// none marks a range of addresses without a block.
const none = math.MaxUint16

var errZones = errors.New("block: too many availability zones")

// Table maps addresses to availability zones by longest prefix; it is immutable and safe for concurrent use.
//
// Nested prefixes are resolved to sorted ranges when the table is built: a range needs 6 bytes for IPv4 and 18 for
// IPv6, and a lookup is a binary search within the addresses that share the first 16 bits.
type Table struct {
	zones  []string
	low    []uint32
	lowTo  []uint16
	first  []uint32 // index in low of the last range that starts at or before each 16-bit prefix
	high   []wide
	highTo []uint16
}

// wide is an IPv6 address as a number.
type wide struct{ hi, lo uint64 }

func (w wide) compare(o wide) int {
	return cmp.Or(cmp.Compare(w.hi, o.hi), cmp.Compare(w.lo, o.lo))
}

func (w wide) next() (wide, bool) {
	n := wide{w.hi, w.lo + 1}
	if n.lo == 0 {
		n.hi++
	}
	return n, n != wide{}
}

// interval is a block as a closed range of addresses.
type interval struct {
	from, to wide
	bits     int
	zone     uint16
}

// New builds a table; when a prefix occurs twice the later block counts.
func New(blocks []document.Block) (*Table, error) {
	t := &Table{}
	index := make(map[string]uint16)
	var low, high []interval
	for _, b := range blocks {
		zone, ok := index[b.Zone()]
		if !ok {
			if len(t.zones) == none {
				return nil, errZones
			}
			zone = uint16(len(t.zones))
			index[b.Zone()] = zone
			t.zones = append(t.zones, b.Zone())
		}
		p := b.Prefix().Masked()
		if !p.IsValid() {
			return nil, fmt.Errorf("block: prefix %v is invalid", b.Prefix())
		}
		iv := rangeOf(p, zone)
		if p.Addr().Is4() {
			low = append(low, iv)
		} else {
			high = append(high, iv)
		}
	}
	flatten(low, func(from wide, zone uint16) {
		if from.lo > math.MaxUint32 {
			return // The end of the last block is the end of the address space.
		}
		t.low = append(t.low, uint32(from.lo))
		t.lowTo = append(t.lowTo, zone)
	})
	flatten(high, func(from wide, zone uint16) {
		t.high = append(t.high, from)
		t.highTo = append(t.highTo, zone)
	})
	t.compact()
	return t, nil
}

func rangeOf(p netip.Prefix, zone uint16) interval {
	from := number(p.Addr())
	iv := interval{from: from, to: from, bits: p.Bits(), zone: zone}
	host := p.Addr().BitLen() - p.Bits()
	switch {
	case host >= 128:
		iv.to = wide{math.MaxUint64, math.MaxUint64}
	case host >= 64:
		iv.to = wide{from.hi | (1<<(host-64) - 1), math.MaxUint64}
	default:
		iv.to.lo |= 1<<host - 1
	}
	return iv
}

func number(a netip.Addr) wide {
	if a.Is4() {
		b := a.As4()
		return wide{0, uint64(binary.BigEndian.Uint32(b[:]))}
	}
	b := a.As16()
	return wide{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// flatten calls emit for the start of each range in which one block is the longest match, in ascending order.
func flatten(all []interval, emit func(from wide, zone uint16)) {
	slices.SortStableFunc(all, func(a, b interval) int {
		return cmp.Or(a.from.compare(b.from), cmp.Compare(a.bits, b.bits))
	})
	var open []interval // The enclosing blocks, innermost last.
	w := writer{emit: emit, zone: none}
	for _, iv := range all {
		open = closeBefore(open, iv.from, &w)
		if n := len(open); n > 0 && open[n-1].from == iv.from && open[n-1].bits == iv.bits {
			open[n-1] = iv
		} else {
			open = append(open, iv)
		}
		w.put(iv.from, iv.zone)
	}
	closeBefore(open, wide{math.MaxUint64, math.MaxUint64}, &w)
	w.flush()
}

// closeBefore ends the open blocks that lie wholly before the address.
func closeBefore(open []interval, from wide, w *writer) []interval {
	for n := len(open); n > 0 && open[n-1].to.compare(from) < 0; n = len(open) {
		after, ok := open[n-1].to.next()
		open = open[:n-1]
		if !ok {
			continue
		}
		zone := uint16(none)
		if n > 1 {
			zone = open[n-2].zone
		}
		w.put(after, zone)
	}
	return open
}
