package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/owner"
	"tamarackspool/internal/steer/table"
)

// mapping is a function that returns the owner of each target.
type mapping func(entries, targets int) []string

func name(i int) string { return fmt.Sprintf("e%03d", i) }

// bounded is the production mapping of package owner.
func bounded(entries, targets int) []string {
	f := document.Fields{
		Version: 1, Regions: []document.Region{document.NewRegion(document.RegionFields{Name: "r"})},
		Zones:    []document.Zone{document.NewZone("z", "r")},
		Services: []document.Service{document.NewService(document.ServiceFields{Name: "s"})},
	}
	in := &table.Input{}
	for i := range entries {
		f.Entries = append(f.Entries, document.NewEntry(document.EntryFields{Name: name(i), Zone: "z"}))
		in.Members = append(in.Members, table.Member{Name: name(i), State: table.Alive})
	}
	for i := range targets {
		f.Targets = append(f.Targets, document.NewTarget(document.TargetFields{Name: fmt.Sprintf("t%d", i), Service: "s", Zone: "z", Slots: 3}))
	}
	in.Document = document.New(f)
	t := table.New(name(0), "r", "z")
	t.SetInput(in)
	owner.Update(time.Time{}, t)
	owners := make([]string, len(t.Targets))
	for i := range t.Targets {
		owners[i] = t.Targets[i].Owner
	}
	return owners
}

// plain is rendezvous hashing without bounds.
func plain(entries, targets int) []string {
	owners := make([]string, targets)
	names := make([]string, entries)
	for e := range entries {
		names[e] = name(e)
	}
	var key []byte
	for i := range owners {
		var highest uint64
		target := fmt.Sprintf("t%d\x00", i)
		for _, e := range names {
			key = append(append(key[:0], target...), e...)
			if score := xxhash.Sum64(key); owners[i] == "" || score > highest {
				owners[i], highest = e, score
			}
		}
	}
	return owners
}

// modulo assigns the targets to the entries in turn.
func modulo(entries, targets int) []string {
	owners := make([]string, targets)
	for i := range owners {
		owners[i] = name(i % entries)
	}
	return owners
}

// even adds the entries one by one. Each new entry gets an equal part from the others, which is the smallest
// movement that keeps the parts equal.
func even(entries, targets int) []string {
	owners, counts := make([]int, targets), make([]int, entries)
	counts[0] = targets
	for e := 1; e < entries; e++ {
		part := targets / (e + 1)
		for i, from := range owners {
			if counts[e] < part && counts[from] > part {
				counts[from]--
				counts[e]++
				owners[i] = e
			}
		}
	}
	named := make([]string, targets)
	for i, e := range owners {
		named[i] = name(e)
	}
	return named
}

// moved returns the number of targets whose owner changes when an entry is added, and the most targets of one entry.
func moved(m mapping, entries, targets int) (n, most int) {
	a, b := m(entries, targets), m(entries+1, targets)
	counts := map[string]int{}
	for i := range a {
		if a[i] != b[i] {
			n++
		}
		counts[b[i]]++
		most = max(most, counts[b[i]])
	}
	return n, most
}

// Guards against a mapping that moves as many targets as a modulo mapping when one entry is added. Removing
// the added entry moves the same targets back, because each mapping depends only on the current entries.
func TestLeastMovement(t *testing.T) {
	for _, entries := range []int{12, 48, 590} {
		targets := 7 * entries
		least, _ := moved(even, entries, targets)
		for _, c := range []struct {
			name string
			m    mapping
		}{{"bounded", bounded}, {"plain", plain}, {"modulo", modulo}, {"even", even}} {
			n, most := moved(c.m, entries, targets)
			t.Logf("%d entries, %d targets, %s: %d moved, at most %d at one entry", entries, targets, c.name, n, most)
			if c.name == "bounded" && n > targets/3 {
				t.Errorf("%d of %d targets move when one of %d entries is added, least %d", n, targets, entries+1, least)
			}
		}
	}
}
