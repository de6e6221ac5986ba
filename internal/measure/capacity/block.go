package capacity

import (
	"context"
	"runtime"
	"time"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/block"
)

// BlocksRole measures the lookup table of client blocks and the encoded parts in which the store holds them.
type BlocksRole struct{}

// Name returns the name of the role.
func (BlocksRole) Name() string { return "blocks" }

// Scale counts client blocks up to the design size.
func (BlocksRole) Scale() Scale {
	return Scale{Unit: "client blocks", Sizes: []int{590_000, 1_200_000, 2_400_000, DesignBlocks}, DesignSize: DesignBlocks}
}

// Measure builds and searches a table of the given size.
func (BlocksRole) Measure(ctx context.Context, size int) (map[string]float64, error) {
	empty := heapBytes()
	all := clientBlocks(size)
	before := heapBytes()
	start := time.Now()
	t, err := block.New(all)
	if err != nil {
		return nil, err
	}
	build := time.Since(start)
	out := map[string]float64{"memory-MB": (heapBytes() - before) / 1e6, "build-s": build.Seconds()}
	out["loading-MB"] = (heapBytes() - empty) / 1e6 // at the end of a load, the decoded blocks and the table are both in memory
	i := 0
	out["find-ns"] = float64(cpuTimePerCall(ctx, 300*time.Millisecond, func() {
		for range 10_000 {
			t.Zone(all[i*7919%len(all)].Prefix().Addr())
			i++
		}
	})) / 10_000
	runtime.KeepAlive(t)
	runtime.KeepAlive(all)
	return out, measureParts(all[:size/10], 10, out)
}

// measureParts encodes a sample of the blocks in the store's format and multiplies the figures by factor.
func measureParts(all []document.ClientBlock, factor float64, out map[string]float64) error {
	encoded, err := codec.EncodeBlocks(all)
	if err != nil {
		return err
	}
	bytes, largest := 0, 0
	for _, p := range encoded {
		bytes += len(p)
		largest = max(largest, len(p))
	}
	d := document.New(configFields(nodesToday))
	start := cpuTime()
	for _, p := range encoded {
		if _, err := codec.DecodeBlocks(p, d); err != nil {
			return err
		}
	}
	out["decode-s"] = factor * (cpuTime() - start).Seconds()
	out["parts-MB"] = factor * float64(bytes) / 1e6
	out["parts"] = factor * float64(bytes) / codec.MaxPartBytes
	out["largest-value-MB"] = float64(largest) / 1e6
	packed, err := block.Encode(all)
	bytes = 0
	for _, p := range packed {
		bytes += len(p)
	}
	out["packed-MB"] = factor * float64(bytes) / 1e6
	return err
}
