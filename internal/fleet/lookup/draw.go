package lookup

import (
	"net/netip"
	"time"
)

// draw is a small random generator on the stack; math/rand/v2's sources would be shared or allocated.
type draw struct{ state uint64 }

// newDraw depends on the seed, the client and the time only, so equal queries at an entry get equal answers in tests.
func newDraw(seed uint64, client netip.Addr, now time.Time) draw {
	b := client.As16()
	d := draw{seed ^ uint64(now.UnixNano())}
	for i := 0; i < len(b); i += 8 {
		var word uint64
		for _, c := range b[i : i+8] {
			word = word<<8 | uint64(c)
		}
		d.state = d.next() ^ word
	}
	return d
}

// next is the splitmix64 step.
func (d *draw) next() uint64 {
	d.state += 0x9e3779b97f4a7c15
	z := d.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// float returns a number from 0 to just below 1.
func (d *draw) float() float64 { return float64(d.next()>>11) / (1 << 53) }
