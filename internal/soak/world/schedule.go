package world

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/platform/platformtest"
)

// phaseTime is the length of a phase of planned work and of a phase of faults, which alternate.
const phaseTime = 6 * time.Second

// runSchedule alternates phases of planned work and of faults until the time is up.
// Each phase starts its steps in quick succession, so that they overlap.
func (w *World) runSchedule(ctx context.Context) {
	end := time.Now().Add(w.s.Duration - settleTime - recoveryTime)
	var steps sync.WaitGroup
	defer steps.Wait()
	if w.s.Restore || w.s.BreakPromise == string(ledger.Restore) {
		w.drill(ctx)
	}
	for planned := true; time.Now().Before(end) && ctx.Err() == nil; planned = !planned {
		until := time.Now().Add(phaseTime)
		for time.Now().Before(until) && ctx.Err() == nil {
			if planned {
				w.startPlannedStep(ctx, &steps)
			} else {
				w.startFault(ctx, &steps)
			}
			pause(ctx, time.Duration(300+w.random.IntN(1200))*time.Millisecond)
		}
		steps.Wait()
		if planned {
			continue
		}
		// The limits of the promises apply to planned work only some time after a fault.
		pause(ctx, phaseTime)
		if time.Now().Add(drillTime).Before(end) && ctx.Err() == nil {
			w.drill(ctx)
		}
	}
	if w.s.BreakPromise == string(ledger.Recovery) {
		w.store.SetFault(platformtest.Silent)
		for _, e := range w.entries {
			w.restart(ctx, e, os.Kill, 0)
		}
	}
}

// breakPromise makes the targets break the promise that the settings name, if it is one that targets can break.
func (w *World) breakPromise() {
	behavior := map[string]platformtest.Behavior{
		string(ledger.Whole): platformtest.WrongBody, string(ledger.Once): platformtest.RunTwice, string(ledger.NotRun): platformtest.FalseNotRun,
		string(ledger.Repeats): platformtest.Full, string(ledger.Pause): platformtest.Full,
	}[w.s.BreakPromise]
	for _, t := range w.targets {
		if t.Mute {
			t.Announce("Server-Leaving", "1", "Retry-After", "3")
		}
	}
	if behavior == platformtest.Normal {
		return
	}
	for _, t := range w.targets {
		t.SetBehaviorFunc(func(r *http.Request) platformtest.Behavior {
			if behavior == platformtest.Full || strings.HasSuffix(r.URL.Path, "7") || strings.HasSuffix(r.URL.RawQuery, "7") {
				return behavior
			}
			return platformtest.Normal
		})
	}
}

// startPlannedStep starts one random step of planned work.
func (w *World) startPlannedStep(ctx context.Context, steps *sync.WaitGroup) {
	e := w.entries[w.random.IntN(len(w.entries))]
	switch w.random.IntN(6) {
	case 0, 1:
		w.note("stop %s", e.name)
		signal := os.Signal(syscall.SIGTERM)
		if w.s.BreakPromise == string(ledger.Stop) {
			signal = os.Kill
		}
		steps.Go(func() { w.restart(ctx, e, signal, time.Second) })
		pause(ctx, grace/2)
	case 2:
		next := map[string]string{"s1": "s2", "s2": "s1"}[w.movingService]
		w.note("configuration: moving rule to %s", next)
		w.configure(next)
	case 3:
		w.replaceTarget()
	case 4:
		zone := zoneNames[w.random.IntN(len(zoneNames))]
		w.note("evacuate %s", zone)
		w.store.Set("op/evacuate/"+zone, "{}")
		steps.Go(func() {
			pause(ctx, 3*time.Second)
			w.store.Remove("op/evacuate/" + zone)
		})
	case 5:
		w.note("reload %s", e.name)
		e.signal(syscall.SIGHUP)
	}
}

// replaceTarget adds a target and drains an older one of the same service and zone.
func (w *World) replaceTarget() {
	live := w.live()
	t := live[w.random.IntN(len(live))]
	w.note("replace target %s", t.ID)
	if err := w.add(t.Service, t.Zone); err != nil {
		w.note("no new target: %v", err)
		return
	}
	w.drain(t, w.s.BreakPromise != string(ledger.Drain))
}

// drain makes a target begin to drain, and say so in its registration if it registers that.
func (w *World) drain(t *target, registers bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.draining = true
	w.ledger.AddDrain(t.ID, time.Now())
	if registers {
		t.Register(w.store, "draining", 0)
	}
}

// registerWarm registers a target as warm, unless it has begun to drain.
func (w *World) registerWarm(t *target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.draining {
		t.Register(w.store, "ready", 0)
	}
}

// restart ends an entry's process with the signal and starts it again after the delay.
func (w *World) restart(ctx context.Context, e *entry, s os.Signal, after time.Duration) {
	from := time.Now()
	address, _, _ := e.addresses()
	defer func() { w.ledger.AddInterruption(address, from, time.Now()) }()
	exited := e.signal(s)
	select {
	case <-exited:
	case <-time.After(grace + time.Second):
		w.note("%s did not end within its grace period", e.name)
		<-e.signal(os.Kill)
	}
	pause(ctx, after)
	if err := e.start(); err != nil {
		w.note("%v", err)
	}
}

// startFault starts one random fault, which ends after a random time.
func (w *World) startFault(ctx context.Context, steps *sync.WaitGroup) {
	e := w.entries[w.random.IntN(len(w.entries))]
	live := w.live()
	t := live[w.random.IntN(len(live))]
	d := time.Duration(500+w.random.IntN(3500)) * time.Millisecond
	begin := func(what string, on, off func()) {
		w.note("%s for %v", what, d)
		from := time.Now()
		on()
		steps.Go(func() {
			pause(ctx, d)
			off()
			w.ledger.AddDisturbance(from, time.Now())
		})
	}
	behave := func(name string, b platformtest.Behavior) {
		begin("target "+t.ID+" "+name, func() { t.SetBehavior(b) }, func() { t.SetBehaviorFunc(nil); w.breakPromise() })
	}
	storeFails := func(name string, f platformtest.Fault) {
		begin("store "+name, func() { w.store.SetFault(f) }, func() { w.store.SetFault(platformtest.None) })
	}
	switch w.random.IntN(24) {
	case 0:
		begin("kill "+e.name, func() {}, func() { w.restart(ctx, e, os.Kill, 0) })
	case 1:
		from := time.Now()
		begin("freeze "+e.name, func() { e.signal(syscall.SIGSTOP) }, func() {
			e.signal(syscall.SIGCONT)
			address, _, _ := e.addresses()
			w.ledger.AddInterruption(address, from, time.Now())
		})
	case 2:
		storeFails("silent", platformtest.Silent)
	case 3:
		storeFails("busy", platformtest.Busy)
	case 4:
		if t.hasNumber(0, 2) {
			storeFails("sends invalid heads", platformtest.InvalidHead)
			return
		}
		storeFails("drops responses", platformtest.LostResponse)
	case 5:
		begin("store history compacted", w.store.Compact, func() {})
	case 6:
		begin("store cut off from "+e.name, func() { e.store.SetPartition(true) }, func() { e.store.SetPartition(false); e.store.Reset() })
	case 7:
		begin("store responses withheld from "+e.name, func() { e.store.SetOneWayPartition(true) }, func() { e.store.SetOneWayPartition(false) })
	case 8:
		begin("store slow to "+e.name, func() { e.store.SetDelay(200 * time.Millisecond) }, func() { e.store.SetDelay(0) })
	case 9:
		begin("connections of "+t.ID+" reset", t.proxy.Reset, func() {})
	case 10:
		begin("connections of "+t.ID+" silent", t.proxy.Silence, func() {})
	case 11:
		from := time.Now()
		begin("target "+t.ID+" cut off", func() { t.proxy.SetPartition(true) }, func() {
			t.proxy.SetPartition(false)
			t.proxy.Reset()
			w.ledger.AddInterruption(t.ID, from, time.Now())
		})
	case 12:
		behave("closes without response", platformtest.CloseWithoutResponse)
	case 13:
		behave("truncates responses", platformtest.TruncateBody)
	case 14:
		behave("full", platformtest.Full)
	case 15:
		behave("hangs", platformtest.Hang)
	case 17:
		// The clock of a target's VM may be set back to before the target's last start.
		step := time.Duration(w.random.IntN(120)-60) * time.Second
		begin(fmt.Sprintf("target %s restarts, its clock stepped by %v", t.ID, step), func() {
			t.Restart(step + time.Millisecond)
			t.proxy.Reset()
			w.ledger.AddInterruption(t.ID, time.Now().Add(-d), time.Now())
			t.Register(w.store, "ready", d)
		}, func() { w.registerWarm(t) })
	case 18:
		if t.hasNumber(0, 2) {
			behave("sends invalid field names", platformtest.InvalidFieldName)
			return
		}
		behave("sends an endless header", platformtest.EndlessHeader)
	case 19:
		w.announceLeaving(t, begin)
	case 20:
		length := pauses[w.random.IntN(len(pauses))]
		begin(fmt.Sprintf("target %s full, asks for a pause of %s s", t.ID, length), func() {
			t.SetBehavior(platformtest.Full)
			t.Announce("Retry-After", length)
		}, func() { t.SetBehaviorFunc(nil); t.Announce(); w.breakPromise() })
	case 21:
		behave("writes refusals twice", platformtest.RefuseTwice)
	case 22:
		line := pauseLines[w.random.IntN(len(pauseLines))]
		from := time.Now()
		begin(fmt.Sprintf("freeze %s when it logs %s", e.name, line), func() { e.pauseAt("name=" + line + " ") }, func() {
			e.continueProcess()
			address, _, _ := e.addresses()
			w.ledger.AddInterruption(address, from, time.Now())
		})
	case 23:
		if t.hasNumber(1, 3) {
			w.registerFormerID(t, begin)
			return
		}
		behave("writes refusals behind answers", platformtest.RefuseBehind)
	case 16:
		begin("target "+t.ID+" slow", func() { t.proxy.SetDelay(150 * time.Millisecond) }, func() { t.proxy.SetDelay(0) })
	}
}

// registerFormerID registers a target under a second id at its address, as after a restart whose former registration stands
// for a while. The target writes its refusals of requests to that id twice.
func (w *World) registerFormerID(t *target, begin func(what string, on, off func())) {
	former := t.ID + "-former"
	begin("target "+t.ID+" is registered under a former id too", func() {
		t.SetBehavior(platformtest.MisdirectedTwice)
		t.RegisterAs(former, w.store, "ready", 0)
	}, func() {
		w.store.Remove("servers/" + former)
		t.SetBehaviorFunc(nil)
		w.breakPromise()
	})
}

// pauseLines are the events at which an entry is frozen: it has just read a permission, or is about to act on one.
var pauseLines = []string{
	"request-placed", "request-repeated", "request-shed", "target-cold", "target-joined", "target-leaving", "target-paused",
	"leaving-announced", "zone-evacuated", "version-adopted", "lease-granted", "stopping",
}

// pauses are the lengths of the pauses that targets ask for, in seconds.
var pauses = []string{"0.3", "1", "2.5", "6", "0", "-1", "soon"}

// announceLeaving makes a target announce in its answers for some time that it is leaving, while its registration says
// that it is ready. Another target takes its place.
func (w *World) announceLeaving(t *target, begin func(what string, on, off func())) {
	if err := w.add(t.Service, t.Zone); err != nil {
		w.note("no new target: %v", err)
		return
	}
	w.mu.Lock()
	t.draining = true
	w.mu.Unlock()
	begin(fmt.Sprintf("target %s announces its leaving", t.ID), func() { t.Announce("Server-Leaving", "1") }, func() { t.Announce() })
}
