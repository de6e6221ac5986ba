package census

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"tamarackspool/internal/steer/placement"
)

// Entry is the registration of a running entry.
type Entry struct {
	Name    string
	Zone    string
	Region  string
	Call    string // Call is the address for callers.
	Peer    string // Peer is the address for other entries.
	Leaving bool   // Leaving is set once the entry has begun its graceful shutdown.
	// Strength is the traffic capacity of the entry in Mbit/s, limited by its link and its processor.
	Strength float64
	// Since is when the call that wrote the registration began, in milliseconds of the VM's uptime; 0 when it isn't stated.
	Since int64
	// Era is the newest era of the store that the entry knew then; 0 when it isn't stated. A registration that is read in a
	// later era may come from the copy from which the store was restored.
	Era uint64
}

// storedEntry is the JSON form of an entry in the store.
type storedEntry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Call    string `json:"call"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving,omitempty"`
	// Strength is optional; an entry without one counts with minStrength.
	Strength float64 `json:"strength,omitempty"`
	Since    int64   `json:"since,omitempty"`
	Era      uint64  `json:"era,omitempty"`
}

// Encode returns the JSON form of an entry for the store.
func Encode(e Entry) ([]byte, error) { return json.Marshal(storedEntry(e)) }

// maxStrength is the largest strength that a registration may have, in Mbit/s.
const maxStrength = 1e7

// Decode returns the entry with the name from its JSON form, or an error that says what is invalid.
func Decode(name string, data []byte) (Entry, error) {
	var r storedEntry
	if err := json.Unmarshal(data, &r); err != nil {
		// The error of the package holds the value, which may be large.
		return Entry{}, fmt.Errorf("census: entry %q is not a registration", name)
	}
	for _, text := range []string{r.Call, r.Peer} {
		if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			return Entry{}, fmt.Errorf("census: entry %q has an address that is not an IP address and a port", name)
		}
	}
	switch {
	case r.Name != name:
		return Entry{}, fmt.Errorf("census: entry %q is registered under another name", name)
	case r.Name == "" || r.Zone == "" || r.Region == "":
		return Entry{}, fmt.Errorf("census: entry %q lacks a name, a zone or a region", name)
	case r.Since < 0:
		return Entry{}, fmt.Errorf("census: entry %q was registered before its VM started", name)
	case r.Strength < 0 || r.Strength > maxStrength:
		return Entry{}, fmt.Errorf("census: the strength of entry %q is out of range", name)
	}
	return Entry(r), nil
}

// maxLookupEntries is the largest number of entries that a lookup returns. With 3, a
// caller has two others when one fails and mostly uses entries with high strength.
const maxLookupEntries = 3

// NearestAddresses returns the Call addresses of the entries for a caller in the region and zone:
// those of its zone when there are at least minInZone, else those of its region,
// else all. When there are more than maxLookupEntries, each caller gets that many, always the
// same ones, and an entry gets callers in proportion to its strength.
func NearestAddresses(entries []Entry, region, zone, caller string, minInZone int) []string {
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
	case len(inZone) >= minInZone:
		return selectEntries(inZone, caller)
	case len(inRegion) > 0:
		return selectEntries(inRegion, caller)
	default:
		return selectEntries(all, caller)
	}
}

// selectEntries returns the addresses of at most maxLookupEntries entries, selected by weighted rendezvous hashing of the caller.
func selectEntries(entries []Entry, caller string) []string {
	key := placement.NewKey("look-up", caller)
	remaining := slices.Clone(entries)
	var addresses []string
	for len(remaining) > 0 && len(addresses) < maxLookupEntries {
		i := placement.Best(key, len(remaining),
			func(i int) uint64 { return placement.HashName(remaining[i].Name) },
			func(i int) float64 { return max(minStrength, remaining[i].Strength) })
		addresses = append(addresses, remaining[i].Call)
		remaining = slices.Delete(remaining, i, i+1)
	}
	slices.Sort(addresses)
	return addresses
}

// minStrength is the least strength that an entry counts with, in Mbit/s, also when its registration has none.
const minStrength = 1
