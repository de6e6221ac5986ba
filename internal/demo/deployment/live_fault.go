package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tamarackspool/internal/demo/promise"
)

// KillEntry ends the process of an entry immediately and removes it from the VM list.
func (l *Live) KillEntry(name string) error {
	s := l.cluster.entryVM(name)
	if s == nil || !s.running() {
		return fmt.Errorf("deployment: entry %q does not run", name)
	}
	s.kill()
	l.cluster.vmList.Remove(name)
	return nil
}

// ReplaceEntry starts a new process of an entry whose process has ended.
func (l *Live) ReplaceEntry(name string) error {
	s := l.cluster.entryVM(name)
	if s == nil || s.running() {
		return fmt.Errorf("deployment: entry %q is unknown or still runs", name)
	}
	_, err := l.cluster.startEntry(l.ctx, name, s.zone)
	return err
}

// LoseRegion ends all processes of a region: entries and targets.
func (l *Live) LoseRegion(region string) error {
	var errs []error
	for _, name := range l.Entries() {
		if l.RegionOf(name) == region {
			errs = append(errs, l.KillEntry(name))
		}
	}
	for _, m := range l.cluster.targetVMs {
		if m.region == region {
			errs = append(errs, l.KillTarget(m.planned.name))
		}
	}
	return errors.Join(errs...)
}

// RestoreRegion restarts all processes of a lost region.
func (l *Live) RestoreRegion(region string) error {
	var errs []error
	for _, m := range l.cluster.targetVMs {
		if m.region == region {
			errs = append(errs, l.RestartTarget(m.planned.name))
		}
	}
	for _, s := range l.cluster.allEntryVMs() {
		if s.region == region && !s.running() {
			errs = append(errs, l.ReplaceEntry(s.name))
		}
	}
	return errors.Join(errs...)
}

// StopEntry starts the planned stop of an entry and returns without waiting for its end.
func (l *Live) StopEntry(name string) error {
	s := l.cluster.entryVM(name)
	if s == nil || !s.running() {
		return fmt.Errorf("deployment: entry %q does not run", name)
	}
	l.mu.Lock()
	begin := time.Now()
	l.plannedStops[name] = stopSpan{start: begin}
	l.mu.Unlock()
	l.cluster.vmList.Set(name, true)
	l.cluster.runInBackground(func() error {
		s.node.Drain(l.ctx)
		<-s.done
		l.mu.Lock()
		defer l.mu.Unlock()
		l.plannedStops[name] = stopSpan{begin, time.Now()}
		return nil
	})
	return nil
}

// SetEntryPaused starts or ends the pause of an entry: it stops the entry's ticks and cuts
// its connections to the other entries and the store, because their peers see a
// paused process as silent.
func (l *Live) SetEntryPaused(name string, on bool) error {
	s := l.cluster.entryVM(name)
	if s == nil {
		return fmt.Errorf("deployment: no entry %q", name)
	}
	s.pause.setPaused(on)
	for _, other := range append(l.Entries(), "store") {
		switch {
		case other == name:
		case on:
			l.cluster.network.Cut(name, other)
		default:
			l.cluster.network.Heal(name, other)
		}
	}
	return nil
}

// MarkLeaving marks the target as leaving from now on: it must not receive new
// requests more than promise.LeavingTime later.
func (l *Live) MarkLeaving(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingSince[target] = time.Now()
}

// LeavingTimeExpired reports whether a new request at the leaving target is a breach by now.
func (l *Live) LeavingTimeExpired(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.leavingSince[target]
	return ok && time.Since(since) > promise.LeavingTime
}

// SetTargetFault sets the fault lie, mixed or short at a target; an empty fault clears it.
func (l *Live) SetTargetFault(target string, f Fault) error {
	m, ok := l.cluster.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	if f == "" {
		m.fault.Store(nil)
		return nil
	}
	m.fault.Store(&f)
	return nil
}

// KillTarget ends a target's process and closes all its connections.
func (l *Live) KillTarget(target string) error {
	m, ok := l.cluster.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The operating system may reuse the port for another process; nothing listens on port 1.
	l.cluster.network.Redirect(m.address, "127.0.0.1:1")
	return m.server.Close()
}

// RestartTarget restarts a target. The network redirects its old address to the new port.
func (l *Live) RestartTarget(target string) error {
	m, ok := l.cluster.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	listener, err := l.cluster.listen(l.ctx)
	if err != nil {
		return fmt.Errorf("deployment: %s: %w", target, err)
	}
	m.mu.Lock()
	m.listener, m.server = listener, &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	m.mu.Unlock()
	l.cluster.network.Redirect(m.address, listener.Addr().String())
	l.cluster.runInBackground(func() error { return m.serve(l.ctx) })
	return nil
}

// RequestTarget sends a request directly to a target, bypassing all entries.
func (l *Live) RequestTarget(ctx context.Context, target, id string) error {
	m, ok := l.cluster.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	return l.cluster.requestTarget(ctx, m, id)
}
