package codec

import (
	"fmt"
	"regexp"

	"tamarackspool/internal/config/document"
)

// pattern keeps names usable in header lines, URLs and store keys without escaping.
var pattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// builder makes the domain types from the JSON form and collects faults.
type builder struct {
	report
	w        documentWire
	services map[string]bool
	regions  map[string]bool
	zones    map[string]bool
	targets  map[string]bool
}

// build returns the checked configuration.
func build(w documentWire) (*document.Document, error) {
	b := &builder{w: w}
	b.services = names(b, "services", w.Services, func(s serviceWire) string { return s.Name })
	b.regions = names(b, "regions", w.Regions, func(r regionWire) string { return r.Name })
	b.zones = names(b, "zones", w.Zones, func(z zoneWire) string { return z.Name })
	b.targets = names(b, "targets", w.Targets, func(t targetWire) string { return t.Name })
	names(b, "entries", w.Entries, func(e entryWire) string { return e.Name })
	names(b, "tenants", w.Tenants, func(t tenantWire) string { return t.Name })
	names(b, "drains", w.Drains, func(d drainWire) string { return d.Name })
	if w.Version == 0 {
		b.add("version", "0; a number from 1 is accepted")
	}
	d := document.New(document.Fields{
		Version:  w.Version,
		Services: mapped("services", w.Services, b.service),
		Regions:  mapped("regions", w.Regions, b.region),
		Zones:    mapped("zones", w.Zones, b.zone),
		Targets:  b.buildTargets(),
		Links:    b.buildLinks(),
		Entries:  mapped("entries", w.Entries, b.entry),
		Tenants:  mapped("tenants", w.Tenants, b.tenant),
		Drains:   mapped("drains", w.Drains, b.drain),
	})
	b.checkBlocks()
	if len(b.faults) == 0 {
		b.checkKeep(d)
	}
	return d, b.err()
}

// names checks the names of a list and returns them as a set.
func names[T any](b *builder, path string, list []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(list))
	for i, v := range list {
		place, n := fmt.Sprintf("%s[%d].name", path, i), name(v)
		if !pattern.MatchString(n) {
			b.add(place, "%q; 1 to 63 lower-case letters, digits, dots and hyphens are accepted", n)
		}
		if set[n] {
			b.add(place, "%q stands twice; a name of its own is accepted", n)
		}
		set[n] = true
	}
	return set
}

func mapped[W, D any](path string, list []W, f func(path string, w W) D) []D {
	out := make([]D, len(list))
	for i, w := range list {
		out[i] = f(fmt.Sprintf("%s[%d]", path, i), w)
	}
	return out
}

// refer checks a reference to another list.
func (b *builder) refer(path, name, list string, set map[string]bool) {
	if !set[name] {
		b.add(path, "%q; a name from %s is accepted", name, list)
	}
}

// within checks a number against an inclusive range.
func within[T int | int64 | float64](b *builder, path string, v, low, high T) {
	if !(v >= low && v <= high) {
		b.add(path, "%v; a number from %v to %v is accepted", v, low, high)
	}
}
