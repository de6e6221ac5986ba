package deployment

import (
	"net/netip"
	"slices"

	"tamarackspool/internal/config/document"
)

// clientBits is the length of the prefix of a region's clients.
const clientBits = 24

// clientAddress returns the loopback address of the clients of a region, or the
// zero value when the plan has no client blocks.
func (p plan) clientAddress(region string) netip.Addr {
	i := slices.Index(p.regions, region)
	if !p.blocks || i < 0 {
		return netip.Addr{}
	}
	return netip.AddrFrom4([4]byte{127, 0, byte(i + 1), 1})
}

// clientBlocks returns the blocks that place the clients in their regions.
func (p plan) clientBlocks() []document.ClientBlock {
	if !p.blocks {
		return nil
	}
	var blocks []document.ClientBlock
	for _, r := range p.regions {
		prefix := netip.PrefixFrom(p.clientAddress(r), clientBits).Masked()
		blocks = append(blocks, document.NewClientBlock(prefix, zoneNames(r)[0]))
	}
	return blocks
}
