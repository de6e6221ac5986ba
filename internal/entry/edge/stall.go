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

const (
	// leaseRisk is the length of a stall from which this entry's lease may have ended during it: renewals follow each
	// other after up to renewInterval and a tenth.
	leaseRisk = leaseTTL - renewInterval - renewInterval/10
	// paceRecovery is how long an entry paces no target after such a stall, or after its lease has ended: in that time it
	// learns from its reader whether another entry has taken over.
	paceRecovery = paceDelay + largeRegionWait
)

// suspendPacing ends this entry's permission to send to cold targets for paceRecovery.
func (e *Edge) suspendPacing() { e.paceFrom.Store(int64(e.deps.Uptime() + paceRecovery)) }

// mayPace reports whether this entry may send to the cold target and checks its health. The
// permission ends with a stall, before the process has noticed it.
func (e *Edge) mayPace(v *view, s *targetState, now time.Time) bool {
	return !e.stalled() && e.deps.Uptime() >= time.Duration(e.paceFrom.Load()) && v.isPacer(e.settings.Name, s, now)
}

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
			e.tickQuotas()
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
	if stalledFor >= leaseRisk {
		e.suspendPacing()
	}
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
