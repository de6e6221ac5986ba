package codec_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
)

// designSizeDocument returns a configuration of the design size: 4 regions, 12 zones, 590 entries, 3000 targets.
func designSizeDocument() *document.Document {
	f := document.Fields{Version: 1, Services: []document.Service{document.NewService(document.ServiceFields{
		Name: "s", Timeout: time.Second, MaxTimeout: time.Second, MaxBodyBytes: 1, MaxShiftRate: 1,
	})}}
	for i := range 4 {
		f.Regions = append(f.Regions, document.NewRegion(document.RegionFields{Name: fmt.Sprint("r", i), KeepFraction: 0.5}))
	}
	for i := range 12 {
		f.Zones = append(f.Zones, document.NewZone(fmt.Sprint("z", i), fmt.Sprint("r", i%4)))
	}
	for i := range 590 {
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%12)}))
	}
	for i := range 3000 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{
			Name: fmt.Sprint("t", i), Service: "s", Zone: fmt.Sprint("z", i%12), Address: a, Slots: 6, MaxConns: 400,
		}))
	}
	return document.New(f)
}

// BenchmarkDecode measures the cost of decoding a configuration of the design size.
func BenchmarkDecode(b *testing.B) {
	data, err := codec.Encode(designSizeDocument())
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := codec.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
