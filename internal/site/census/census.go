package census

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
)

// Entry is one running entry.
type Entry struct {
	Name    string
	Zone    string
	Region  string
	Call    string // Call is the address for callers.
	Peer    string // Peer is the address for other entries.
	Leaving bool   // Leaving is set once the entry has begun its graceful shutdown.
}

// record is the stored form of an entry.
type record struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Call    string `json:"call"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving,omitempty"`
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

// most is the number of addresses that one answer may hold.
const most = 64

// Near returns the callers' addresses for a caller of the region and zone: of
// the entries of its zone when there are at least spread, else of its region,
// else of all. The order of the entries does not matter.
func Near(entries []Entry, region, zone string, spread int) []string {
	var inZone, inRegion, all []string
	for _, e := range entries {
		if e.Leaving {
			continue
		}
		all = append(all, e.Call)
		if e.Region == region {
			inRegion = append(inRegion, e.Call)
			if e.Zone == zone {
				inZone = append(inZone, e.Call)
			}
		}
	}
	for _, l := range [][]string{inZone, inRegion} {
		if len(l) >= spread {
			return first(l)
		}
	}
	if len(inRegion) > 0 {
		return first(inRegion)
	}
	return first(all)
}

func first(l []string) []string {
	slices.Sort(l)
	return l[:min(len(l), most)]
}
