package codec

import (
	"fmt"
	"regexp"

	"tamarackspool/internal/config/document"
)

// namePattern restricts names to what needs no escaping in headers, URLs and store keys.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// builder converts the JSON form to the domain types and collects faults. Its maps hold the names
// that other elements may reference.
type builder struct {
	faultList
	wire     documentWire
	services map[string]bool
	regions  map[string]bool
	zones    map[string]bool
	targets  map[string]bool
}

// build validates the JSON form and returns the configuration.
func build(w documentWire) (*document.Document, error) {
	b := &builder{wire: w}
	b.services = checkNames(b, "services", w.Services, func(s serviceWire) string { return s.Name })
	b.regions = checkNames(b, "regions", w.Regions, func(r regionWire) string { return r.Name })
	b.zones = checkNames(b, "zones", w.Zones, func(z zoneWire) string { return z.Name })
	b.targets = checkNames(b, "targets", w.Targets, func(t targetWire) string { return t.Name })
	checkNames(b, "entries", w.Entries, func(e entryWire) string { return e.Name })
	checkNames(b, "tenants", w.Tenants, func(t tenantWire) string { return t.Name })
	checkNames(b, "drains", w.Drains, func(d drainWire) string { return d.Name })
	if w.Version == 0 {
		b.addFault("version", "0; a number from 1 is accepted")
	}
	d := document.New(document.Fields{
		Version:  w.Version,
		Services: buildList("services", w.Services, b.buildService),
		Regions:  buildList("regions", w.Regions, b.buildRegion),
		Zones:    buildList("zones", w.Zones, b.buildZone),
		Targets:  b.buildTargets(),
		Links:    b.buildLinks(),
		Entries:  buildList("entries", w.Entries, b.buildEntry),
		Tenants:  buildList("tenants", w.Tenants, b.buildTenant),
		Drains:   buildList("drains", w.Drains, b.buildDrain),
	})
	b.checkBlocks()
	if len(b.faults) == 0 {
		b.checkKeep(d)
	}
	return d, b.err()
}

// checkNames checks that the names of a list are valid and unique, and returns them as a set.
func checkNames[T any](b *builder, path string, list []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(list))
	for i, v := range list {
		fieldPath, n := fmt.Sprintf("%s[%d].name", path, i), name(v)
		if !namePattern.MatchString(n) {
			b.addFault(fieldPath, "%q; 1 to 63 lower-case letters, digits, dots and hyphens are accepted", n)
		}
		if set[n] {
			b.addFault(fieldPath, "%q is a duplicate; a unique name is accepted", n)
		}
		set[n] = true
	}
	return set
}

func buildList[W, D any](path string, list []W, f func(path string, w W) D) []D {
	out := make([]D, len(list))
	for i, w := range list {
		out[i] = f(fmt.Sprintf("%s[%d]", path, i), w)
	}
	return out
}

// checkReference checks that name is in set, the names of another list.
func (b *builder) checkReference(path, name, list string, set map[string]bool) {
	if !set[name] {
		b.addFault(path, "%q; a name from %s is accepted", name, list)
	}
}

// checkRange checks that v is in the inclusive range from low to high.
func checkRange[T int | int64 | float64](b *builder, path string, v, low, high T) {
	if !(v >= low && v <= high) {
		b.addFault(path, "%v; a number from %v to %v is accepted", v, low, high)
	}
}
