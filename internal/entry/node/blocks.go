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

// loadedBlocks is a table of client blocks with the names of the configuration parts that it was built from.
type loadedBlocks struct {
	parts []string
	table *block.Table
}

// blockLoop loads the client blocks of the configuration whenever their parts
// change, until ctx ends. While the store is unavailable the previous table stays in use.
func (n *Node) blockLoop(ctx context.Context) {
	var seen uint64
	every(ctx, blockInterval, func() {
		version, _, data := n.current.Raw()
		if version == seen {
			return
		}
		names, err := codec.BlockPartNames(data)
		if err != nil {
			return // Unreachable: a configuration is validated before it is adopted.
		}
		if old := n.blocks.Load(); old != nil && slices.Equal(old.parts, names) {
			seen = version
			return
		}
		table, err := n.loadBlocks(ctx, names)
		if err != nil {
			return // The follower logs that the store is unavailable; the next interval retries.
		}
		n.blocks.Store(&loadedBlocks{names, table})
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

// homeRegion returns the region of a caller's address, or an empty string when no client block contains it.
func (n *Node) homeRegion(client netip.Addr) string {
	loaded, d := n.blocks.Load(), n.current.Document()
	if loaded == nil || d == nil {
		return ""
	}
	zone, ok := loaded.table.Zone(client.Unmap())
	if !ok {
		return ""
	}
	return d.RegionOf(zone)
}
