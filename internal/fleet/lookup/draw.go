package lookup

import (
	"net/netip"
	"time"
)

// rng is a small random generator that stays on the stack; sources of math/rand/v2 would be shared or heap-allocated.
type rng struct{ state uint64 }

// newRNG returns a generator seeded from the seed, the client and the time only, so that answers are reproducible in tests.
func newRNG(seed uint64, client netip.Addr, now time.Time) rng {
	b := client.As16()
	d := rng{seed ^ uint64(now.UnixNano())}
	for i := 0; i < len(b); i += 8 {
		var word uint64
		for _, c := range b[i : i+8] {
			word = word<<8 | uint64(c)
		}
		d.state = d.next() ^ word
	}
	return d
}

// next returns the next value of the splitmix64 sequence.
func (d *rng) next() uint64 {
	d.state += 0x9e3779b97f4a7c15
	z := d.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// float64 returns a number in [0, 1).
func (d *rng) float64() float64 { return float64(d.next()>>11) / (1 << 53) }
