package deployment

import (
	"net/netip"
	"slices"

	"tamarackspool/internal/config/document"
)

// clientBits is the prefix length of a region's client addresses.
const clientBits = 24

// clientAddress returns the loopback address of the clients of a region, or the
// zero value if the plan has no client blocks.
func (p plan) clientAddress(region string) netip.Addr {
	i := slices.Index(p.regions, region)
	if !p.hasClientBlocks || i < 0 {
		return netip.Addr{}
	}
	return netip.AddrFrom4([4]byte{127, 0, byte(i + 1), 1})
}

// clientBlocks returns the address blocks that assign the clients to the first zones of their regions.
func (p plan) clientBlocks() []document.ClientBlock {
	if !p.hasClientBlocks {
		return nil
	}
	var blocks []document.ClientBlock
	for _, r := range p.regions {
		prefix := netip.PrefixFrom(p.clientAddress(r), clientBits).Masked()
		blocks = append(blocks, document.NewClientBlock(prefix, zoneNames(r)[0]))
	}
	return blocks
}
