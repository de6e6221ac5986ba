package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tamarackspool/internal/demo/promise"
)

// Kill ends the process of an entry at once.
func (l *Live) Kill(name string) error {
	s := l.w.site(name)
	if s == nil || !s.running() {
		return fmt.Errorf("deployment: entry %q does not run", name)
	}
	s.kill()
	l.w.list.Remove(name)
	return nil
}

// Replace starts a new process of an entry whose process has ended.
func (l *Live) Replace(name string) error {
	s := l.w.site(name)
	if s == nil || s.running() {
		return fmt.Errorf("deployment: entry %q is unknown or still runs", name)
	}
	_, err := l.w.boot(l.ctx, name, s.zone)
	return err
}

// Lose ends all processes of a region, entries and targets.
func (l *Live) Lose(region string) error {
	var errs []error
	for _, name := range l.Entries() {
		if l.Region(name) == region {
			errs = append(errs, l.Kill(name))
		}
	}
	for _, m := range l.w.targetVMs {
		if m.region == region {
			errs = append(errs, l.Die(m.spot.name))
		}
	}
	return errors.Join(errs...)
}

// Return starts all processes of a lost region again.
func (l *Live) Return(region string) error {
	var errs []error
	for _, m := range l.w.targetVMs {
		if m.region == region {
			errs = append(errs, l.Revive(m.spot.name))
		}
	}
	for _, s := range l.w.all() {
		if s.region == region && !s.running() {
			errs = append(errs, l.Replace(s.name))
		}
	}
	return errors.Join(errs...)
}

// Stop begins the planned stop of an entry and returns at once.
func (l *Live) Stop(name string) error {
	s := l.w.site(name)
	if s == nil || !s.running() {
		return fmt.Errorf("deployment: entry %q does not run", name)
	}
	l.mu.Lock()
	begin := time.Now()
	l.stopped[name] = span{start: begin}
	l.mu.Unlock()
	l.w.list.Set(name, true)
	l.w.own(func() error {
		s.node.Drain(l.ctx)
		<-s.done
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stopped[name] = span{begin, time.Now()}
		return nil
	})
	return nil
}

// Pause stops the ticks of an entry and silences its connections to the other
// entries and the store, as a pause of the process does to those that wait for it.
func (l *Live) Pause(name string, on bool) error {
	s := l.w.site(name)
	if s == nil {
		return fmt.Errorf("deployment: no entry %q", name)
	}
	s.pause.set(on)
	for _, other := range append(l.Entries(), "store") {
		switch {
		case other == name:
		case on:
			l.w.network.Cut(name, other)
		default:
			l.w.network.Heal(name, other)
		}
	}
	return nil
}

// Leaving states that the target must receive no new work from 3 s after now on.
func (l *Live) Leaving(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[target] = time.Now()
}

// Late reports whether work at the leaving target is a breach by now.
func (l *Live) Late(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.leaving[target]
	return ok && time.Since(since) > promise.LeavingTime
}

// Misbehave gives a target the fault lie, mixed or short; an empty one ends it.
func (l *Live) Misbehave(target string, f Fault) error {
	m, ok := l.w.targetVMs[target]
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

// Die ends a target's process with all its connections.
func (l *Live) Die(target string) error {
	m, ok := l.w.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The system may give the port to another process; nobody listens at port 1.
	l.w.network.Move(m.address, "127.0.0.1:1")
	return m.server.Close()
}

// Revive starts a target again; the network leads its old address to the new port.
func (l *Live) Revive(target string) error {
	m, ok := l.w.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	listen, err := l.w.listen(l.ctx)
	if err != nil {
		return fmt.Errorf("deployment: %s: %w", target, err)
	}
	m.mu.Lock()
	m.listen, m.server = listen, &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	m.mu.Unlock()
	l.w.network.Move(m.address, listen.Addr().String())
	l.w.own(func() error { return m.serve(l.ctx) })
	return nil
}

// Visit sends a request to a target directly, as work that no entry sent.
func (l *Live) Visit(ctx context.Context, target, id string) error {
	m, ok := l.w.targetVMs[target]
	if !ok {
		return fmt.Errorf("deployment: no target %q", target)
	}
	return l.w.visit(ctx, m, id)
}
