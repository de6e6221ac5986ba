package codec_test

import (
	"bytes"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
)

func example(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against examples that differ from the documented design sizes or that spread targets unevenly over zones.
func TestExamples(t *testing.T) {
	for name, want := range map[string]struct {
		rate  int64
		slots map[string][2]int // number of targets of a service, slots of each target
	}{
		"letters":   {500_000_000, map[string][2]int{"status": {14, 6}, "gifts": {12, 3}, "drawings": {16, 6}}},
		"cartridge": {35_000_000, map[string][2]int{"search": {14, 3}, "orders": {12, 3}, "photos": {16, 3}}},
	} {
		d, err := codec.Decode(example(t, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(d.Regions()) != 3 || len(d.Zones()) != 6 || len(d.Entries()) != 12 || len(d.Links()) != 3 {
			t.Errorf("%s: wrong number of regions, zones, entries or links", name)
		}
		for _, l := range d.Links() {
			if l.BytesPerSecond() != want.rate {
				t.Errorf("%s: link rate %d, want %d", name, l.BytesPerSecond(), want.rate)
			}
		}
		for service, w := range want.slots {
			s, _ := d.Service(service)
			if once := service == "gifts" || service == "orders"; s.AtMostOnce() != once {
				t.Errorf("%s: %s once = %v", name, service, s.AtMostOnce())
			}
			checkSpread(t, d, service, w)
		}
	}
}

func checkSpread(t *testing.T, d *document.Document, service string, want [2]int) {
	t.Helper()
	zones := map[string]int{}
	total := 0
	for _, g := range d.Targets() {
		if g.Service() != service {
			continue
		}
		total++
		zones[g.Zone()]++
		if g.Slots() != want[1] || g.MaxConns() != 400 {
			t.Errorf("%s: slots %d, conns %d", g.Name(), g.Slots(), g.MaxConns())
		}
	}
	for _, z := range d.Zones() {
		if n := zones[z.Name()]; n < total/6 || n > total/6+1 {
			t.Errorf("%s: %d targets in %s", service, n, z.Name())
		}
	}
	if total != want[0] {
		t.Errorf("%s: %d targets, want %d", service, total, want[0])
	}
}

// Guards against values that change when they are encoded as JSON and decoded again.
func TestRoundTrip(t *testing.T) {
	const drain = `{"name":"d","targets":["gifts-1"],"start":"2026-12-04T02:00:00Z","end":"2026-12-04T03:00:00Z"}`
	data := bytes.Replace(example(t, "letters"), []byte(`"drains": []`), []byte(`"drains": [`+drain+`]`), 1)
	d, err := codec.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := codec.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := codec.Decode(encoded)
	if err != nil || !reflect.DeepEqual(d, decoded) {
		t.Errorf("document changes in the round trip through JSON: %v", err)
	}
	revised, _, err := codec.WithVersion(encoded, 1)
	if err != nil || !bytes.Equal(revised, encoded) {
		t.Errorf("canonical form changes: %v", err)
	}
}

// Guards against an invalid value that is accepted, or whose error does not give its path.
func TestFaults(t *testing.T) {
	const drain = `{"name":"d","region":"ege","start":"2026-12-04T02:00:00Z"}`
	for _, c := range []struct{ old, new, path, text string }{
		{`"zone": "ege-b", "address"`, `"zone": "ege-x", "address"`, "targets[4].zone", "a name from zones"},
		{`"name": "status-2"`, `"name": "status-1"`, "targets[1].name", "is a duplicate"},
		{`"slots": 6`, `"slots": 0`, "targets[0].slots", "from 1"},
		{`"slots": 6`, `"slots": "6"`, "targets[0].slots", "string"},
		{`"slots": 6`, `"slot": 6`, "targets[0]", "unknown field"},
		{`"slots": 6`, `"Slots": 6`, "targets[0]", "unknown field"},
		{`"version"`, `"color": 1, "version"`, "document", "unknown field"},
		{`127.0.0.1:21000`, `localhost:21000`, "targets[0].address", "IP address"},
		{`127.0.0.1:21001`, `127.0.0.1:21000`, "targets[1].address", "status-1"},
		{`"regions": ["marmara", "ege"]`, `"regions": ["marmara", "x"]`, "links[0].regions[1]", "a name from regions"},
		{`"regions": ["marmara", "anadolu"]`, `"regions": ["ege", "marmara"]`, "links[1].regions", "already joined by links[0]"},
		{`"rate": 4000`, `"rate": -1`, "links[0].rate", "from 0.001"},
		{`"timeout": "2s"`, `"timeout": "2"`, "services[0].timeout", `"2s"`},
		{`"drains": []`, `"drains": [` + drain + `]`, "drains[0]", "leaves region ege 0 of"},
		{`"keep": 0.4`, `"keep": 1.5`, "regions[0].keep", "from 0 to 1"},
	} {
		data := strings.Replace(string(example(t, "letters")), c.old, c.new, 1)
		_, err := codec.Decode([]byte(data))
		if err == nil || !strings.Contains(err.Error(), c.path+": ") || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s for %s: error %v, want %s and %q", c.new, c.old, err, c.path, c.text)
		}
	}
}

// Guards against two drains that are valid one by one but together leave too few slots.
func TestOverlappingDrains(t *testing.T) {
	a := `{"name":"a","zone":"ege-a","start":"2026-12-04T02:00:00Z","end":"2026-12-04T03:00:00Z"}`
	b := `{"name":"b","zone":"ege-b","start":"2026-12-04T02:30:00Z"}`
	text := string(example(t, "letters"))
	for drains, path := range map[string]string{a: "", b: "", a + "," + b: "drains[1]"} {
		_, err := codec.Decode([]byte(strings.Replace(text, `"drains": []`, `"drains": [`+drains+`]`, 1)))
		if (err == nil) != (path == "") || (err != nil && !strings.Contains(err.Error(), path+": leaves region ege 0 of")) {
			t.Errorf("drains %s: %v", drains, err)
		}
	}
}

// Guards against client address blocks that are lost when they are split into parts, and against blocks in an unknown zone.
func TestBlocks(t *testing.T) {
	d, err := codec.Decode(example(t, "letters"))
	if err != nil {
		t.Fatal(err)
	}
	var blocks []document.ClientBlock
	for i := range 40_000 {
		blocks = append(blocks, document.NewClientBlock(prefix(i), "ege-a"))
	}
	parts, err := codec.EncodeBlocks(blocks)
	if err != nil || len(parts) < 2 {
		t.Fatalf("%d parts, %v", len(parts), err)
	}
	var got int
	for _, p := range parts {
		list, err := codec.DecodeBlocks(p, d)
		if err != nil || len(p) > codec.MaxPartBytes {
			t.Fatalf("part of %d bytes: %v", len(p), err)
		}
		got += len(list)
	}
	if got != len(blocks) {
		t.Errorf("%d blocks, want %d", got, len(blocks))
	}
	if _, err := codec.DecodeBlocks([]byte(`[{"prefix":"10.0.0.0/8","zone":"x"}]`), d); err == nil {
		t.Error("a block in an unknown zone was accepted")
	}
}

func prefix(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}
