package world

import (
	"context"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/platform/platformtest"
)

const (
	// copyAge is how old the copy is from which the store is restored: every entry knows by then what was written after it.
	copyAge = 5 * time.Second
	// restoreOutage is how long the store is away while it is restored.
	restoreOutage = 400 * time.Millisecond
	// rewriteDelay is the time after which the operators and the targets write again what was lost.
	rewriteDelay = 3 * time.Second
	// drillTime is the length of a drill.
	drillTime = copyAge + restoreOutage + rewriteDelay
)

// drill restores the store from an older copy: what operators, targets and entries wrote after it is gone until they
// write it again. It draws nothing, so that seeds that are kept play the same steps.
func (w *World) drill(ctx context.Context) {
	t := w.live()[0]
	service := map[string]string{"s1": "s2", "s2": "s1"}[w.movingService]
	w.note("restore: copy the store, then drain %s and move the rule to %s", t.ID, service)
	w.store.Backup()
	if err := w.add(t.Service, t.Zone); err != nil {
		w.note("no new target: %v", err)
		return
	}
	w.drain(t, w.s.BreakPromise != string(ledger.Restore))
	w.version++
	w.writeVersion(service)
	if !pause(ctx, copyAge) {
		return
	}
	w.note("restore: the store goes back to the copy")
	from := time.Now()
	w.store.SetFault(platformtest.Silent)
	w.store.Restore()
	pause(ctx, restoreOutage)
	w.store.SetFault(platformtest.None)
	pause(ctx, rewriteDelay)
	w.note("restore: write again what was lost")
	to := time.Now()
	w.ledger.AddRestoration(ledger.Restoration{From: from, To: to, Target: t.ID, Service: service})
	w.writeConfiguration()
	t.Register(w.store, "draining", 0)
	for _, o := range w.live() {
		w.registerWarm(o)
	}
	w.ledger.AddDisturbance(from, time.Now())
}
