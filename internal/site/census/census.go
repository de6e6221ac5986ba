package census

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"tamarackspool/internal/steer/placement"
)

// Entry is one running entry.
type Entry struct {
	Name    string
	Zone    string
	Region  string
	Call    string // Call is the address for callers.
	Peer    string // Peer is the address for other entries.
	Leaving bool   // Leaving is set once the entry has begun its graceful shutdown.
	// Strength is how much traffic the entry bears, in Mbit/s: what its link and its processor carry.
	Strength float64
}

// record is the stored form of an entry.
type record struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Call    string `json:"call"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving,omitempty"`
	// Strength is that of Entry; a registration without one has the least.
	Strength float64 `json:"strength,omitempty"`
}

// Encode returns the stored form of an entry.
func Encode(e Entry) ([]byte, error) { return json.Marshal(record(e)) }

// Decode returns the entry of a stored form, or an error that names the field.
func Decode(data []byte) (Entry, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return Entry{}, fmt.Errorf("census: %w", err)
	}
	for _, a := range []string{r.Call, r.Peer} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return Entry{}, fmt.Errorf("census: entry %q: %w", r.Name, err)
		}
	}
	if r.Name == "" || r.Zone == "" || r.Region == "" {
		return Entry{}, fmt.Errorf("census: entry %q lacks a name, a zone or a region", r.Name)
	}
	return Entry(r), nil
}

// few is the number of entries that a caller is given when there are more. It
// leaves a caller two others when one fails, and keeps it on the strong ones.
const few = 3

// Near returns the callers' addresses for a caller of the region and zone: of
// the entries of its zone when there are at least spread, else of its region,
// else of all. Of many entries a caller is given a few, the same ones each
// time, in proportion to their strength.
func Near(entries []Entry, region, zone, caller string, spread int) []string {
	var inZone, inRegion, all []Entry
	for _, e := range entries {
		if e.Leaving {
			continue
		}
		all = append(all, e)
		if e.Region == region {
			inRegion = append(inRegion, e)
			if e.Zone == zone {
				inZone = append(inZone, e)
			}
		}
	}
	switch {
	case len(inZone) >= spread:
		return draw(inZone, caller)
	case len(inRegion) > 0:
		return draw(inRegion, caller)
	default:
		return draw(all, caller)
	}
}

// draw returns the addresses of a few entries, in proportion to their strength.
func draw(entries []Entry, caller string) []string {
	key := placement.Of("look-up", caller)
	list := slices.Clone(entries)
	var addresses []string
	for len(list) > 0 && len(addresses) < few {
		i := placement.Best(key, len(list),
			func(i int) uint64 { return placement.Mark(list[i].Name) },
			func(i int) float64 { return max(least, list[i].Strength) })
		addresses = append(addresses, list[i].Call)
		list = slices.Delete(list, i, i+1)
	}
	slices.Sort(addresses)
	return addresses
}

// least is the strength of an entry that states none, in Mbit/s.
const least = 1
