package deployment

import (
	"context"
	"fmt"
	"time"
)

// watchInterval is how often the versions of all entries are read.
const watchInterval = 20 * time.Millisecond

// watch reads the version in force of each entry until ctx ends and returns
// each case in which a lower one followed a higher one. A replaced entry counts
// under its name, because it must not serve below the version it had before.
func (w *world) watch(ctx context.Context) []string {
	highest := make(map[string]uint64)
	var reverted []string
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return reverted
		case <-t.C:
		}
		for _, s := range w.all() {
			if !s.node.Ready() {
				continue
			}
			v := s.node.Version()
			if v < highest[s.name] {
				reverted = append(reverted, fmt.Sprintf("%s went from version %d back to %d", s.name, highest[s.name], v))
			}
			highest[s.name] = max(highest[s.name], v)
		}
	}
}
