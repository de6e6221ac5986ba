package block_test

import (
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/gaissmai/bart"
	"pgregory.net/rapid"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/block"
)

func drawBlocks(t *rapid.T) []document.ClientBlock {
	var blocks []document.ClientBlock
	for range rapid.IntRange(0, 40).Draw(t, "count") {
		// A small set of octets makes nested, adjacent and repeated prefixes likely.
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		blocks = append(blocks, document.NewClientBlock(netip.PrefixFrom(drawAddr(t), 0), zone))
		last := &blocks[len(blocks)-1]
		bits := rapid.IntRange(0, last.Prefix().Addr().BitLen()).Draw(t, "bits")
		*last = document.NewClientBlock(netip.PrefixFrom(last.Prefix().Addr(), bits), zone)
	}
	return blocks
}

func drawAddr(t *rapid.T) netip.Addr {
	octets := rapid.SampledFrom([]byte{0, 1, 127, 128, 255})
	if rapid.Bool().Draw(t, "wide") {
		return netip.AddrFrom16([16]byte(rapid.SliceOfN(octets, 16, 16).Draw(t, "v6"))).Unmap()
	}
	return netip.AddrFrom4([4]byte(rapid.SliceOfN(octets, 4, 4).Draw(t, "v4")))
}

// linearSearch finds the longest prefix by comparing every block; of two equal prefixes the later one applies.
func linearSearch(blocks []document.ClientBlock, a netip.Addr) (string, bool) {
	best, zone := -1, ""
	for _, b := range blocks {
		if p := b.Prefix().Masked(); p.Contains(a) && p.Bits() >= best {
			best, zone = p.Bits(), b.Zone()
		}
	}
	return zone, best >= 0
}

// Guards against losing nested, adjacent, repeated or zero-length prefixes when blocks are flattened to ranges.
func TestTableAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := drawBlocks(t)
		table, err := block.New(blocks)
		if err != nil {
			t.Fatal(err)
		}
		for range 30 {
			a := drawAddr(t)
			zone, ok := table.Zone(a)
			if wantZone, want := linearSearch(blocks, a); ok != want || zone != wantZone {
				t.Fatalf("%v is in %q (%v), want %q (%v) of %v", a, zone, ok, wantZone, want, blocks)
			}
		}
	})
}

// Guards against parts that lose a block or exceed the store's size limit, and against accepting a truncated part.
func TestPartsReturnTheSameBlocks(t *testing.T) {
	blocks := distinctBlocks(200_000)
	parts, err := block.Encode(blocks)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range parts {
		if len(p) > block.MaxPartBytes {
			t.Errorf("part of %d bytes", len(p))
		}
	}
	got, err := block.Decode(parts)
	if err != nil || !slices.Equal(got, blocks) {
		t.Errorf("%d of %d blocks returned, error %v", len(got), len(blocks), err)
	}
	if _, err := block.Decode([][]byte{parts[0][:len(parts[0])-1]}); err == nil {
		t.Error("a truncated part was accepted")
	}
}

// distinctBlocks returns n blocks, three quarters /24 of IPv4 and one quarter /56 of IPv6, with neighbours in different zones.
func distinctBlocks(n int) []document.ClientBlock {
	zones := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	blocks := make([]document.ClientBlock, 0, n)
	for i := range n {
		a := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
		p := netip.PrefixFrom(a, 24)
		if i%4 == 0 {
			p = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 1, 0, byte(i >> 24), byte(i >> 16), byte(i >> 8), byte(i)}), 56)
		}
		blocks = append(blocks, document.NewClientBlock(p, zones[i*7%12]))
	}
	return blocks
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// designBlocks is the number of blocks that the table is designed for.
const designBlocks = 4_700_000

// Measures the build time, memory (limit 128 MB) and lookup time of the table at the design size.
func BenchmarkRanges(b *testing.B) {
	blocks := distinctBlocks(designBlocks)
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			before := heapMB()
			t, _ := block.New(blocks)
			b.ReportMetric(heapMB()-before, "heap-MB")
			b.ReportMetric(float64(t.Bytes())/1e6, "table-MB")
		}
	})
	t, _ := block.New(blocks)
	b.Run("find", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			t.Zone(blocks[i*7919%len(blocks)].Prefix().Addr())
		}
	})
}

// Measures the bart library on the same blocks, for comparison.
func BenchmarkBart(b *testing.B) {
	blocks := distinctBlocks(designBlocks)
	build := func() *bart.Table[uint16] {
		t := new(bart.Table[uint16])
		for i, block := range blocks {
			t.Insert(block.Prefix(), uint16(i*7%12))
		}
		return t
	}
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			before := heapMB()
			t := build()
			b.ReportMetric(heapMB()-before, "heap-MB")
			runtime.KeepAlive(t)
		}
	})
	t := build()
	b.Run("find", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			t.Lookup(blocks[i*7919%len(blocks)].Prefix().Addr())
		}
	})
}
