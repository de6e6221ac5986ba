package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/block"
)

// blockInterval is how often the entry compares its client blocks with the configuration.
const blockInterval = 500 * time.Millisecond

// nearness is the loaded table of client blocks with the names of its parts.
type nearness struct {
	parts []string
	table *block.Table
}

// locating loads the client blocks of the configuration whenever their parts
// change, until ctx ends. While the store is away the table before stays in use.
func (n *Node) locating(ctx context.Context) {
	var seen uint64
	every(ctx, blockInterval, func() {
		version, _, data := n.current.Raw()
		if version == seen {
			return
		}
		names, err := codec.BlockPartNames(data)
		if err != nil {
			return // Adopted configurations have been checked; this one cannot be adopted.
		}
		if old := n.near.Load(); old != nil && slices.Equal(old.parts, names) {
			seen = version
			return
		}
		table, err := n.loadBlocks(ctx, names)
		if err != nil {
			return // The follower reports a store that is away; the next interval tries again.
		}
		n.near.Store(&nearness{names, table})
		seen = version
	})
}

func (n *Node) loadBlocks(ctx context.Context, names []string) (*block.Table, error) {
	var all []document.ClientBlock
	for _, name := range names {
		data, err := n.history.Part(ctx, name)
		if err != nil {
			return nil, err
		}
		blocks, err := codec.DecodeBlocks(data, n.current.Document())
		if err != nil {
			return nil, err
		}
		all = append(all, blocks...)
	}
	return block.New(all)
}

// home returns the region of a caller, or an empty string when no block holds it.
func (n *Node) home(client netip.Addr) string {
	near, d := n.near.Load(), n.current.Document()
	if near == nil || d == nil {
		return ""
	}
	zone, ok := near.table.Zone(client.Unmap())
	if !ok {
		return ""
	}
	return d.RegionOf(zone)
}
