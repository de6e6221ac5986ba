package node

import "github.com/rcrowley/go-metrics"

// registerGauges registers the gauges whose values are computed when operators read the metrics.
func (n *Node) registerGauges() {
	for name, value := range map[string]func() int64{
		"entry.flight":         n.inFlight.Load,
		"entry.version":        func() int64 { return int64(n.Version()) },
		"gossip.interval-ms":   func() int64 { return n.gossip.Interval().Milliseconds() },
		"gossip.sent":          func() int64 { return n.gossip.Counts().SentBytes },
		"gossip.received":      func() int64 { return n.gossip.Counts().ReceivedBytes },
		"order.keys":           func() int64 { return int64(n.orderTable.Len()) },
		"pool.invalid-heads":   func() int64 { return n.targetPool.InvalidHeadCount() + n.entryPool.InvalidHeadCount() },
		"pool.late":            func() int64 { return n.targetPool.LateCount() + n.entryPool.LateCount() },
		"pool.silences":        func() int64 { return n.targetPool.SilentCount() + n.entryPool.SilentCount() },
		"roster.invalid-heads": n.invalidLists,
		"store.invalid-heads":  n.store.InvalidHeadCount,
	} {
		// Register fails only for a duplicate name, and the registry is empty here.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
}

// invalidLists returns the number of responses of the VM list that were rejected because of their head.
func (n *Node) invalidLists() int64 {
	if n.roster == nil {
		return 0
	}
	return n.roster.InvalidHeadCount()
}
