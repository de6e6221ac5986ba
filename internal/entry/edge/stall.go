package edge

import (
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// stallAfter is the time without a beat, of which one is due each second, that says that the process
	// stood still: requests may take that long to be read by the bound on repeats.
	stallAfter = 2 * time.Second
	// catchUp is how long after a standstill what callers sent during it is read.
	catchUp = 500 * time.Millisecond
)

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
