package node

import (
	"context"
	"time"

	"tamarackspool/internal/record/event"
)

// vmListInterval is how often the VM list is read, so a leaving VM is detected
// well within the limit of 3 s (promise P6).
const vmListInterval = time.Second

// vmList is the result of the last successful read of the VM list.
type vmList struct {
	leaving []string
	readAt  time.Time
}

// vmListLoop reads the VM list until ctx ends.
func (n *Node) vmListLoop(ctx context.Context) {
	if n.roster == nil {
		return
	}
	lost := false
	read := func() {
		vms, err := n.roster.List(ctx)
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				n.deps.Events.Log(event.RosterLost, "err", err)
			}
			return
		}
		lost = false
		list := &vmList{readAt: time.Now()}
		for _, v := range vms {
			if v.Leaving() {
				list.leaving = append(list.leaving, v.Name())
			}
		}
		n.vms.Store(list)
	}
	read()
	every(ctx, vmListInterval, read)
}
