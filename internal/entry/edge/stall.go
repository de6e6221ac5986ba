package edge

import (
	"context"
	"time"

	"tamarackspool/internal/record/event"
)

const (
	// watchdogInterval is the pause between two watchdog ticks.
	watchdogInterval = 250 * time.Millisecond
	// stallThreshold is the time without a tick from which the process counts as stalled. A caller waits
	// up to 1 s for its connection; after that wait, a shorter stall and the network delay, its request is still read
	// within the 2 s that package spend assumes.
	stallThreshold = 750 * time.Millisecond
	// stallCatchUp is how long after a stall requests that callers sent during it are still being read.
	stallCatchUp = 500 * time.Millisecond
)

// runWatchdog ticks until ctx ends. Each pause starts after the previous tick,
// so that ticks are late in a process whose goroutines wait for a processor.
func (e *Edge) runWatchdog(ctx context.Context) {
	t := time.NewTimer(watchdogInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.watchdogTick()
			t.Reset(watchdogInterval)
		}
	}
}

// watchdogTick records that the process runs. After a stall, requests accepted before it
// or sent during it earn no retries: they are dropped from the retry budgets.
func (e *Edge) watchdogTick() {
	now := e.deps.Uptime()
	stalledFor := now - time.Duration(e.lastTick.Swap(int64(now)))
	if stalledFor < stallThreshold {
		return
	}
	e.events.Log(event.Stalled, "for", stalledFor)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.retryBudgets {
		b.DiscardUntil(now + stallCatchUp)
	}
}

// stalled reports whether the process has stalled and the watchdog has not ticked since.
func (e *Edge) stalled() bool {
	return e.deps.Uptime()-time.Duration(e.lastTick.Load()) >= stallThreshold
}
