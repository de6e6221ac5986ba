package deployment

import (
	"context"
	"sync"
)

// pause stops the ticks of an entry, as a pause of its process does.
type pause struct {
	mu   sync.Mutex
	gate chan struct{} // gate is closed at the end of the pause; nil when there is none.
}

func newPause() *pause { return &pause{} }

// set begins or ends the pause.
func (p *pause) set(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.gate == nil:
		p.gate = make(chan struct{})
	case !on && p.gate != nil:
		close(p.gate)
		p.gate = nil
	}
}

// hold returns when there is no pause or ctx ends.
func (p *pause) hold(ctx context.Context) {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate == nil {
		return
	}
	select {
	case <-gate:
	case <-ctx.Done():
	}
}
