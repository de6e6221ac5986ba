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

// noZone marks a range of addresses without a block.
const noZone = math.MaxUint16

var errTooManyZones = errors.New("block: too many availability zones")

// Table maps addresses to availability zones by longest prefix; it is immutable and safe for concurrent use.
//
// Nested prefixes are resolved to sorted ranges when the table is built. A range takes 6 bytes for IPv4 and 18 for IPv6.
// An IPv4 lookup is a binary search among the ranges whose start shares the first 16 bits of the address.
type Table struct {
	zones    []string
	v4Starts []uint32
	v4Zones  []uint16
	v4Index  []uint32 // position in v4Starts of the first range that starts at or after each 16-bit prefix
	v6Starts []uint128
	v6Zones  []uint16
}

// uint128 is an address as a number; an IPv4 address takes the low 32 bits.
type uint128 struct{ hi, lo uint64 }

func (u uint128) compare(o uint128) int {
	return cmp.Or(cmp.Compare(u.hi, o.hi), cmp.Compare(u.lo, o.lo))
}

func (u uint128) next() (uint128, bool) {
	n := uint128{u.hi, u.lo + 1}
	if n.lo == 0 {
		n.hi++
	}
	return n, n != uint128{}
}

// interval is a block as an inclusive range of addresses.
type interval struct {
	from, to uint128
	bits     int
	zone     uint16
}

// New returns a table of the blocks; if a prefix occurs twice, the later block applies.
func New(blocks []document.ClientBlock) (*Table, error) {
	t := &Table{}
	index := make(map[string]uint16)
	var v4, v6 []interval
	for _, b := range blocks {
		zone, ok := index[b.Zone()]
		if !ok {
			if len(t.zones) == noZone {
				return nil, errTooManyZones
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
			v4 = append(v4, iv)
		} else {
			v6 = append(v6, iv)
		}
	}
	flattenBlocks(v4, func(from uint128, zone uint16) {
		if from.lo > math.MaxUint32 {
			return // The last block ends at the end of the address space.
		}
		t.v4Starts = append(t.v4Starts, uint32(from.lo))
		t.v4Zones = append(t.v4Zones, zone)
	})
	flattenBlocks(v6, func(from uint128, zone uint16) {
		t.v6Starts = append(t.v6Starts, from)
		t.v6Zones = append(t.v6Zones, zone)
	})
	t.compact()
	return t, nil
}

func rangeOf(p netip.Prefix, zone uint16) interval {
	from := uint128Of(p.Addr())
	iv := interval{from: from, to: from, bits: p.Bits(), zone: zone}
	host := p.Addr().BitLen() - p.Bits()
	switch {
	case host >= 128:
		iv.to = uint128{math.MaxUint64, math.MaxUint64}
	case host >= 64:
		iv.to = uint128{from.hi | (1<<(host-64) - 1), math.MaxUint64}
	default:
		iv.to.lo |= 1<<host - 1
	}
	return iv
}

func uint128Of(a netip.Addr) uint128 {
	if a.Is4() {
		b := a.As4()
		return uint128{0, uint64(binary.BigEndian.Uint32(b[:]))}
	}
	b := a.As16()
	return uint128{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// flattenBlocks calls emit for the start of each range in which one block is the longest match, in ascending order.
func flattenBlocks(blocks []interval, emit func(from uint128, zone uint16)) {
	slices.SortStableFunc(blocks, func(a, b interval) int {
		return cmp.Or(a.from.compare(b.from), cmp.Compare(a.bits, b.bits))
	})
	var open []interval // The enclosing blocks, innermost last.
	w := rangeWriter{emit: emit, zone: noZone}
	for _, iv := range blocks {
		open = closeBlocksBefore(open, iv.from, &w)
		if n := len(open); n > 0 && open[n-1].from == iv.from && open[n-1].bits == iv.bits {
			open[n-1] = iv
		} else {
			open = append(open, iv)
		}
		w.startRange(iv.from, iv.zone)
	}
	closeBlocksBefore(open, uint128{math.MaxUint64, math.MaxUint64}, &w)
	w.flush()
}

// closeBlocksBefore removes the open blocks that end before the address and starts the ranges that follow them.
func closeBlocksBefore(open []interval, from uint128, w *rangeWriter) []interval {
	for n := len(open); n > 0 && open[n-1].to.compare(from) < 0; n = len(open) {
		after, ok := open[n-1].to.next()
		open = open[:n-1]
		if !ok {
			continue
		}
		zone := uint16(noZone)
		if n > 1 {
			zone = open[n-2].zone
		}
		w.startRange(after, zone)
	}
	return open
}
