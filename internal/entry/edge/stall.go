package edge

import (
	"context"
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// beatEvery is the pause between two beats.
	beatEvery = 250 * time.Millisecond
	// stallAfter is the time without a beat that says that the process stood still. A caller waits 1 s for its
	// connection; with that, a shorter standstill and the network, a request is read within the 2 s of spend's bound.
	stallAfter = 750 * time.Millisecond
	// catchUp is how long after a standstill what callers sent during it is read.
	catchUp = 500 * time.Millisecond
)

// beats notes that the process runs until ctx ends. Each pause begins behind
// the beat before it, so that a process whose goroutines wait for a processor beats late.
func (e *Edge) beats(ctx context.Context) {
	t := time.NewTimer(beatEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.beat()
			t.Reset(beatEvery)
		}
	}
}

// beat notes that the process runs. After a standstill nothing that was taken
// before, or was sent meanwhile, pays for repeats.
func (e *Edge) beat() {
	now := e.d.Uptime()
	still := now - time.Duration(e.beaten.Swap(int64(now)))
	if still < stallAfter {
		return
	}
	e.events.Log(event.Stalled, "for", still)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.budgets {
		b.Forget(now + catchUp)
	}
}

// stalled reports whether the process stood still and has not noted it yet.
func (e *Edge) stalled() bool { return e.d.Uptime()-time.Duration(e.beaten.Load()) >= stallAfter }
