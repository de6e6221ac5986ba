package document

import (
	"slices"
	"time"
)

// Fields are the values of a whole configuration.
type Fields struct {
	Version  uint64
	Services []Service
	Regions  []Region
	Zones    []Zone
	Targets  []Target
	Links    []Link
	Entries  []Entry
	Tenants  []Tenant
	Drains   []Drain
	Blocks   []ClientBlock
}

// Document is one numbered version of the whole configuration.
type Document struct {
	fields   Fields
	services map[string]Service
	regions  map[string]Region
	zones    map[string]Zone
	targets  map[string]Target
	entries  map[string]Entry
	tenants  map[string]Tenant
}

// New returns the document with the given values, which the caller must not change afterwards.
func New(f Fields) *Document {
	return &Document{
		fields:   f,
		services: indexByName(f.Services, Service.Name),
		regions:  indexByName(f.Regions, Region.Name),
		zones:    indexByName(f.Zones, Zone.Name),
		targets:  indexByName(f.Targets, Target.Name),
		entries:  indexByName(f.Entries, Entry.Name),
		tenants:  indexByName(f.Tenants, Tenant.Name),
	}
}

func indexByName[T any](values []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(values))
	for _, v := range values {
		m[name(v)] = v
	}
	return m
}

// Version returns the number of this version of the configuration.
func (d *Document) Version() uint64 { return d.fields.Version }

// Services returns all services in the order of the document; the slice must not be changed.
func (d *Document) Services() []Service { return d.fields.Services }

// Regions returns all regions in the order of the document; the slice must not be changed.
func (d *Document) Regions() []Region { return d.fields.Regions }

// Zones returns all availability zones in the order of the document; the slice must not be changed.
func (d *Document) Zones() []Zone { return d.fields.Zones }

// Targets returns all targets in the order of the document; the slice must not be changed.
func (d *Document) Targets() []Target { return d.fields.Targets }

// Links returns all links in the order of the document; the slice must not be changed.
func (d *Document) Links() []Link { return d.fields.Links }

// Entries returns all entries in the order of the document; the slice must not be changed.
func (d *Document) Entries() []Entry { return d.fields.Entries }

// Tenants returns all tenants in the order of the document; the slice must not be changed.
func (d *Document) Tenants() []Tenant { return d.fields.Tenants }

// Drains returns all planned drains in the order of the document; the slice must not be changed.
func (d *Document) Drains() []Drain { return d.fields.Drains }

// Blocks returns all client address blocks in the order of the document; the slice must not be changed.
func (d *Document) Blocks() []ClientBlock { return d.fields.Blocks }

// Service returns the service with the given name and whether it exists.
func (d *Document) Service(name string) (Service, bool) { return find(d.services, name) }

// Region returns the region with the given name and whether it exists.
func (d *Document) Region(name string) (Region, bool) { return find(d.regions, name) }

// Zone returns the availability zone with the given name and whether it exists.
func (d *Document) Zone(name string) (Zone, bool) { return find(d.zones, name) }

// Target returns the target with the given name and whether it exists.
func (d *Document) Target(name string) (Target, bool) { return find(d.targets, name) }

// Entry returns the entry with the given name and whether it exists.
func (d *Document) Entry(name string) (Entry, bool) { return find(d.entries, name) }

// Tenant returns the tenant with the given name and whether it exists.
func (d *Document) Tenant(name string) (Tenant, bool) { return find(d.tenants, name) }

func find[T any](m map[string]T, name string) (T, bool) {
	v, ok := m[name]
	return v, ok
}

// RegionOf returns the region of the availability zone, or an empty string when the zone is unknown.
func (d *Document) RegionOf(zone string) string { return d.zones[zone].region }

// Link returns the link between two regions, in either order, and whether it exists.
func (d *Document) Link(a, b string) (Link, bool) {
	i := slices.IndexFunc(d.fields.Links, func(l Link) bool { return l.Joins(a, b) })
	if i < 0 {
		return Link{}, false
	}
	return d.fields.Links[i], true
}

// DrainedTargets returns the targets that an active drain covers at the given time, as a map from target name to drain name.
func (d *Document) DrainedTargets(now time.Time) map[string]string {
	drained := make(map[string]string)
	for _, dr := range d.fields.Drains {
		if !dr.Active(now) {
			continue
		}
		for _, t := range d.fields.Targets {
			if d.DrainCovers(dr, t) {
				drained[t.Name()] = dr.Name()
			}
		}
	}
	return drained
}

// DrainCovers reports whether the drain covers the target.
func (d *Document) DrainCovers(dr Drain, t Target) bool {
	return slices.Contains(dr.fields.Targets, t.Name()) ||
		(dr.fields.Zone != "" && dr.fields.Zone == t.Zone()) ||
		(dr.fields.Region != "" && dr.fields.Region == d.RegionOf(t.Zone()))
}
