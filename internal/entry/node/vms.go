package node

import (
	"context"
	"time"

	"tamarackspool/internal/record/event"
)

// listInterval is how often the VM list is read, so that a leaving VM is known
// well within the 3 s of promise P6.
const listInterval = time.Second

// vmList is the newest VM list.
type vmList struct {
	leaving []string
	at      time.Time
}

// reading reads the VM list until ctx ends.
func (n *Node) reading(ctx context.Context) {
	if n.roster == nil {
		return
	}
	lost := false
	read := func() {
		vms, err := n.roster.List(ctx)
		if err != nil {
			if !lost && ctx.Err() == nil {
				lost = true
				n.d.Events.Log(event.RosterLost, "err", err)
			}
			return
		}
		lost = false
		list := &vmList{at: time.Now()}
		for _, v := range vms {
			if v.Leaving() {
				list.leaving = append(list.leaving, v.Name())
			}
		}
		n.vms.Store(list)
	}
	read()
	every(ctx, listInterval, read)
}
