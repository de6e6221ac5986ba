//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// The requests of the route for reading the archive, by the site file: how long
// the client waits, how long the route lets it wait, and the two kinds of work.
const (
	archiveLimit   = 20 * time.Second
	archiveTimeout = 5 * time.Second
	longWork       = 4500 * time.Millisecond
	shortWork      = 1000 * time.Millisecond
)

// pipeline is one client connection with two requests, the second sent before the first is answered.
type pipeline struct {
	conn     net.Conn
	attempts [2]attempt
}

// playStop stops one entry as planned. In its last moments in which it takes requests, clients send it a long safe
// request and a short one behind it on the same connection.
func playStop(w *world) (int, error) {
	for _, m := range []struct{ name, zone string }{
		{"front-marmara-a-1", "marmara-a"},
		{"front-marmara-b-1", "marmara-b"},
		{"front-ege-a-1", "ege-a"},
		{"front-ege-b-1", "ege-b"},
	} {
		if err := w.addEntry(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	zones := []string{"marmara-a", "marmara-b", "ege-a", "ege-b"}
	if err := w.addWorkers("cizim-arsiv", 6, shortWork, append(zones, append(zones, zones...)...)...); err != nil {
		return 0, err
	}
	for _, o := range w.workers {
		o.workOn = func(path string) time.Duration {
			if strings.HasPrefix(path, "/arsiv/uzun") {
				return longWork
			}
			return shortWork
		}
	}
	w.store.set("op/config", configuration(4, []route{{"r-arsiv", "/arsiv/", "safe", "cizim-arsiv", archiveTimeout.Seconds()}}, "cizim-arsiv"))
	if err := w.startEntries(); err != nil {
		return 0, err
	}
	w.startClients(2, zones, func(zone string) *client {
		return &client{
			zone: zone, entries: w.entries, traffic: w.traffic, pause: 500 * time.Millisecond, limit: archiveLimit,
			next: func(r *rand.Rand) (method, path, object string) {
				object = fmt.Sprint(zone, r.IntN(20))
				return http.MethodGet, "/arsiv/" + object, object
			},
		}
	})
	sleep(w.ctx, 4*time.Second)
	e := w.entry("front-marmara-a-1")
	pipelines := make([]*pipeline, 8)
	for i := range pipelines {
		conn, err := net.Dial("tcp", e.call)
		if err != nil {
			return 0, err
		}
		pipelines[i] = &pipeline{conn: conn}
	}
	// Each connection has served a request before the stop.
	for i, p := range pipelines {
		w.clients.Go(func() { p.exchange(w, e, 0, fmt.Sprint("/arsiv/once", i)) })
	}
	sleep(w.ctx, 4*time.Second)

	began := time.Now()
	exited := make(<-chan struct{})
	if w.trouble {
		w.note("%s gets SIGTERM", e.name)
		exited = e.signal(syscall.SIGTERM)
	}
	sleep(w.ctx, 2200*time.Millisecond)
	for i, p := range pipelines {
		w.clients.Go(func() {
			p.exchange(w, e, 100*time.Millisecond, fmt.Sprint("/arsiv/uzun", i), fmt.Sprint("/arsiv/kisa", i))
		})
	}
	sleep(w.ctx, 8*time.Second)
	select {
	case <-exited:
		w.note("%s has ended", e.name)
	default:
	}
	return w.checkLost(began, pipelines), nil
}

// exchange sends one request for each path, with the pause between them, and reads the answers until the connection ends.
func (p *pipeline) exchange(w *world, e *entry, pause time.Duration, paths ...string) {
	sent := make([]attempt, len(paths))
	for i, path := range paths {
		sent[i] = attempt{id: w.traffic.nextID(), entry: e.name, method: http.MethodGet, path: path}
	}
	w.clients.Go(func() {
		for i := range sent {
			if i > 0 {
				sleep(w.ctx, pause)
			}
			_, _ = fmt.Fprintf(p.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nCookie: X-Affinity-Key=%s\r\n\r\n",
				sent[i].path, host, sent[i].id, archiveLimit.Milliseconds(), sent[i].path[len("/arsiv/"):])
			w.recordMu.Lock()
			sent[i].sent = time.Now()
			w.recordMu.Unlock()
		}
	})
	br := bufio.NewReader(p.conn)
	_ = p.conn.SetReadDeadline(time.Now().Add(archiveLimit))
	answers := make([]attempt, len(paths))
	for i := range answers {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			answers[i].status, answers[i].stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
		}
		answers[i].answered = time.Now()
	}
	w.recordMu.Lock()
	for i := range sent {
		sent[i].status, sent[i].stamp, sent[i].answered = answers[i].status, answers[i].stamp, answers[i].answered
	}
	w.recordMu.Unlock()
	for i, a := range sent {
		p.attempts[i] = a
		w.traffic.add(a)
	}
}

// checkLost returns how many requests were passed on to a worker and then ended without an answer, except those that
// the rule doesn't count: the route's time had passed, or the worker was still at work in the last sixth of the grace time.
func (w *world) checkLost(began time.Time, pipelines []*pipeline) int {
	runs := make(map[string]arrival)
	for _, o := range w.workers {
		for _, a := range o.seen() {
			if a.run {
				runs[a.id] = a
			}
		}
	}
	broken := 0
	for _, p := range pipelines {
		for _, a := range p.attempts {
			run, passed := runs[a.id]
			if a.id == "" || a.status != 0 || !passed {
				continue
			}
			lastSixth := began.Add(graceTime * 5 / 6)
			switch {
			case a.answered.Sub(a.sent) >= archiveTimeout:
				w.note("not counted: %s, its route's time has passed", a.path)
			case (run.done.IsZero() || run.done.After(lastSixth)) && a.sent.Sub(began) <= 3*time.Second:
				w.note("not counted: %s, sent %.1f s after the signal, its worker was at work in the last sixth of the grace time", a.path, a.sent.Sub(began).Seconds())
			default:
				broken++
				w.note("LOST: %s, sent %.1f s after the signal, was passed on; its worker had the answer after %.1f s; the connection ended without it %.1f s after the request",
					a.path, a.sent.Sub(began).Seconds(), run.done.Sub(run.at).Seconds(), a.answered.Sub(a.sent).Seconds())
			}
		}
	}
	w.note("LOST: %d requests were passed on to a worker and not answered", broken)
	return broken
}
