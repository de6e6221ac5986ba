package census_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tamarackspool/internal/site/census"
)

func entry(name, region, zone string) census.Entry {
	return census.Entry{Name: name, Region: region, Zone: zone, Call: name, Peer: name}
}

// Guards against lookups that name entries of another zone or region without need, or leaving ones.
func TestNearestAddressesPrefersTheZoneThenTheRegion(t *testing.T) {
	leaving := entry("4", "r", "z1")
	leaving.Leaving = true
	entries := []census.Entry{entry("1", "r", "z1"), entry("2", "r", "z1"), entry("3", "r", "z2"), leaving, entry("5", "q", "z3")}
	for _, c := range []struct {
		region, zone string
		want         []string
	}{
		{"r", "z1", []string{"1", "2"}},
		{"r", "z2", []string{"1", "2", "3"}},
		{"q", "z3", []string{"5"}},
		{"q", "z1", []string{"5"}},
	} {
		if got := census.NearestAddresses(entries, c.region, c.zone, "caller", 2); !slices.Equal(got, c.want) {
			t.Errorf("%s/%s: %v, want %v", c.region, c.zone, got, c.want)
		}
	}
}

// Guards against a caller that gets different entries with each lookup, and
// against entries with low strength that get as many callers as those with high strength.
func TestNearestAddressesFavorsEntriesWithHighStrength(t *testing.T) {
	var entries []census.Entry
	for i := range 14 {
		e := entry(fmt.Sprint("e", i), "r", "z")
		e.Strength = 10
		if i < 2 {
			e.Strength = 200
		}
		entries = append(entries, e)
	}
	got := make(map[string]int)
	const callers = 1000
	for i := range callers {
		caller := fmt.Sprint("caller-", i)
		first := census.NearestAddresses(entries, "r", "z", caller, 2)
		if repeated := census.NearestAddresses(entries, "r", "z", caller, 2); !slices.Equal(first, repeated) || len(first) != 3 {
			t.Fatalf("%s gets %v, then %v", caller, first, repeated)
		}
		for _, a := range first {
			got[a]++
		}
	}
	for name, n := range got {
		if strong := name == "e0" || name == "e1"; strong && n < callers*8/10 || !strong && n > callers*2/10 {
			t.Errorf("%s is named to %d of %d callers", name, n, callers)
		}
	}
}

// Guards against entries of a region that choose different readers because they list the entries in a different order.
func TestReaderOfDoesNotDependOnTheOrder(t *testing.T) {
	strong, leaving := entry("m", "r", "z"), entry("a", "r", "z")
	strong.Strength, leaving.Strength, leaving.Leaving = 200, 900, true
	twin := strong
	twin.Name = "n"
	entries := []census.Entry{leaving, entry("b", "r", "z"), twin, strong, entry("c", "q", "z")}
	for range entries {
		entries = append(entries[1:], entries[0])
		for _, e := range entries {
			got, ok := census.ReaderOf(entries, e)
			if want := e.Region == "r" && e.Name != "m"; ok != want || ok && got.Entry.Name != "m" {
				t.Errorf("%s has reader %v %v, want m or none", e.Name, got, ok)
			}
		}
	}
}

// Guards against a registration that other entries cannot decode, and against an incomplete registration that is accepted.
func TestRegistrationKeepsItsFields(t *testing.T) {
	want := census.Entry{Name: "e", Zone: "z", Region: "r", Call: "10.0.0.1:80", Peer: "10.0.0.1:81", Leaving: true, Strength: 80, Since: 5, Era: 2}
	data, err := census.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := census.Decode("e", data); err != nil || got != want {
		t.Errorf("%v %v, want %v", got, err, want)
	}
	for _, wrong := range []string{
		`{`, `{}`, `{"name":"e","zone":"z","region":"r","call":"x","peer":"10.0.0.1:81"}`,
		`{"name":"e","zone":"z","region":"r","call":"10.0.0.1:0","peer":"10.0.0.1:81"}`,
		`{"name":"f","zone":"z","region":"r","call":"10.0.0.1:80","peer":"10.0.0.1:81"}`,
		`{"name":"e","zone":"z","region":"r","call":"10.0.0.1:80","peer":"10.0.0.1:81","strength":1e300}`,
		`{"name":"e","zone":"z","region":"r","call":"10.0.0.1:80","peer":"10.0.0.1:81","strength":-1}`,
		`{"name":"e","zone":"z","region":` + strings.Repeat("[", 20_000) + `}`,
	} {
		if _, err := census.Decode("e", []byte(wrong)); err == nil {
			t.Errorf("%s is accepted as an entry", wrong)
		}
	}
}

// Fuzzes the decoder of entries: what it accepts has a name, a place and addresses.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"e","zone":"z","region":"r","call":"10.0.0.1:80","peer":"10.0.0.1:81","strength":80}`))
	f.Add([]byte(`{"name":"e","strength":1e999,"zone":[[[[]]]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := census.Decode("e", data)
		if err == nil && (e.Name != "e" || e.Zone == "" || e.Region == "" || e.Call == "" || e.Peer == "" || e.Strength < 0) {
			t.Errorf("%q is accepted as %+v", data, e)
		}
	})
}
