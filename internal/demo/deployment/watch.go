package deployment

import (
	"context"
	"fmt"
	"time"
)

// watchInterval is the interval at which the versions of all entries are polled.
const watchInterval = 20 * time.Millisecond

// watchVersions polls the version in force on each entry until ctx is done and returns a
// description of each decrease. A replaced entry is compared with its predecessor
// of the same name, because it must not serve a lower version than that.
func (cl *cluster) watchVersions(ctx context.Context) []string {
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
		for _, s := range cl.allEntryVMs() {
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
