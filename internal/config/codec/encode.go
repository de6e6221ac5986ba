package codec

import (
	"net/netip"

	"tamarackspool/internal/config/document"
)

// bytesPerMbit is the number of bytes per second in 1 Mbit/s.
const bytesPerMbit = 125_000

// toWire converts the domain types to the JSON form, without the client address blocks.
func toWire(d *document.Document) documentWire {
	w := documentWire{
		Version:  d.Version(),
		Services: mapSlice(d.Services(), serviceToWire),
		Regions: mapSlice(d.Regions(), func(r document.Region) regionWire {
			return regionWire{r.Name(), r.MaxInFlight(), r.KeepFraction()}
		}),
		Zones: mapSlice(d.Zones(), func(z document.Zone) zoneWire { return zoneWire{z.Name(), z.Region()} }),
		Targets: mapSlice(d.Targets(), func(t document.Target) targetWire {
			return targetWire{t.Name(), t.Service(), t.Zone(), formatAddress(t.Address()), t.Slots(), t.MaxConns()}
		}),
		Links: mapSlice(d.Links(), func(l document.Link) linkWire {
			a, b := l.Ends()
			return linkWire{[]string{a, b}, float64(l.BytesPerSecond()) / bytesPerMbit}
		}),
		Entries: mapSlice(d.Entries(), func(e document.Entry) entryWire {
			return entryWire{e.Name(), e.Zone(), formatAddress(e.CallerAddress()), formatAddress(e.PeerAddress()), formatAddress(e.RelayAddress())}
		}),
		Tenants: mapSlice(d.Tenants(), func(t document.Tenant) tenantWire {
			return tenantWire{t.Name(), t.KeyDigest(), t.Services()}
		}),
		Drains: mapSlice(d.Drains(), drainToWire),
		Blocks: []string{},
	}
	return w
}

func serviceToWire(s document.Service) serviceWire {
	return serviceWire{
		Name: s.Name(), Once: s.AtMostOnce(), Priority: s.Priority(),
		Timeout: s.Timeout().String(), Ceiling: s.MaxTimeout().String(),
		Body: s.MaxBodyBytes(), Shift: s.MaxShiftRate(),
	}
}

func drainToWire(d document.Drain) drainWire {
	w := drainWire{Name: d.Name(), Targets: d.Targets(), Zone: d.Zone(), Region: d.Region(), Start: d.Start()}
	if end := d.End(); !end.IsZero() {
		w.End = &end
	}
	return w
}

func mapSlice[A, B any](list []A, f func(A) B) []B {
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}

// formatAddress returns the text of an address, or an empty string for the zero value.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
