package codec

import (
	"net/netip"

	"tamarackspool/internal/config/document"
)

// mbit is the number of bytes per second in 1 Mbit/s.
const mbit = 125_000

// wire maps the domain types to the JSON form, without the client blocks.
func wire(d *document.Document) documentWire {
	w := documentWire{
		Version:  d.Version(),
		Services: each(d.Services(), wireService),
		Regions: each(d.Regions(), func(r document.Region) regionWire {
			return regionWire{r.Name(), r.Limit(), r.Keep()}
		}),
		Zones: each(d.Zones(), func(z document.Zone) zoneWire { return zoneWire{z.Name(), z.Region()} }),
		Targets: each(d.Targets(), func(t document.Target) targetWire {
			return targetWire{t.Name(), t.Service(), t.Zone(), text(t.Address()), t.Slots(), t.Conns()}
		}),
		Links: each(d.Links(), func(l document.Link) linkWire {
			a, b := l.Ends()
			return linkWire{[]string{a, b}, float64(l.Rate()) / mbit}
		}),
		Entries: each(d.Entries(), func(e document.Entry) entryWire {
			return entryWire{e.Name(), e.Zone(), text(e.Call()), text(e.Peer()), text(e.Pass())}
		}),
		Tenants: each(d.Tenants(), func(t document.Tenant) tenantWire {
			return tenantWire{t.Name(), t.Digest(), t.Services()}
		}),
		Drains: each(d.Drains(), wireDrain),
		Blocks: []string{},
	}
	return w
}

func wireService(s document.Service) serviceWire {
	return serviceWire{
		Name: s.Name(), Once: s.Once(), Priority: s.Priority(),
		Timeout: s.Timeout().String(), Ceiling: s.Ceiling().String(),
		Body: s.Body(), Shift: s.Shift(),
	}
}

func wireDrain(d document.Drain) drainWire {
	w := drainWire{Name: d.Name(), Targets: d.Targets(), Zone: d.Zone(), Region: d.Region(), Start: d.Start()}
	if end := d.End(); !end.IsZero() {
		w.End = &end
	}
	return w
}

func each[A, B any](list []A, f func(A) B) []B {
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}

// text writes an address; the zero value is an empty text.
func text(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
