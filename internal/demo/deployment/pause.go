package deployment

import (
	"context"
	"sync"
)

// pause suspends the ticks of an entry, as a pause of its process does.
type pause struct {
	mu    sync.Mutex
	ended chan struct{} // ended is closed at the end of the pause; nil if there is none.
}

func newPause() *pause { return &pause{} }

// setPaused starts or ends the pause.
func (p *pause) setPaused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.ended == nil:
		p.ended = make(chan struct{})
	case !on && p.ended != nil:
		close(p.ended)
		p.ended = nil
	}
}

// waitWhilePaused returns once there is no pause or ctx is done.
func (p *pause) waitWhilePaused(ctx context.Context) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
