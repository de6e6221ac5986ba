//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// staleReadAge is how old the state is that two of the entries read first.
const staleReadAge = 3 * time.Second

// playRemoval kills three of six entries at the same moment, just after two workers have left as planned, and starts
// the entries again. One of them reads the store's newest state first, the others one of staleReadAge.
func playRemoval(w *world) (int, error) {
	for _, m := range []struct{ name, zone string }{
		{"front-marmara-a-1", "marmara-a"},
		{"front-marmara-a-2", "marmara-a"},
		{"front-marmara-b-1", "marmara-b"},
		{"front-ege-a-1", "ege-a"},
		{"front-ege-a-2", "ege-a"},
		{"front-ege-b-1", "ege-b"},
	} {
		if err := w.addEntry(m.name, m.zone); err != nil {
			return 0, err
		}
	}
	zones := []string{"marmara-a", "marmara-b", "ege-a", "ege-b"}
	for _, s := range []string{"mektup-oku", "hediye-gonder"} {
		if err := w.addWorkers(s, 6, 150*time.Millisecond, append(zones, zones...)...); err != nil {
			return 0, err
		}
	}
	w.store.set("op/config", configuration(4, []route{
		{"r-durum", "/durum/", "safe", "mektup-oku", 1.5},
		{"r-hediye", "/hediye/", "unsafe", "hediye-gonder", 2},
	}, "mektup-oku", "hediye-gonder"))
	if err := w.startEntries(); err != nil {
		return 0, err
	}
	w.startClients(6, zones, func(zone string) *client {
		return &client{
			zone: zone, entries: w.entries, traffic: w.traffic, pause: 150 * time.Millisecond, limit: 4 * time.Second,
			next: func(r *rand.Rand) (method, path, object string) {
				object = fmt.Sprint(zone, r.IntN(20))
				if r.IntN(3) == 0 {
					return "POST", "/hediye/" + object, object
				}
				return "GET", "/durum/" + object, object
			},
		}
	})
	sleep(w.ctx, 7*time.Second)

	killed := []*entry{w.entry("front-marmara-a-1"), w.entry("front-marmara-a-2"), w.entry("front-marmara-b-1")}
	leaving := []*worker{w.worker("i-mektup-oku-1"), w.worker("i-hediye-gonder-1")}
	gone := make(map[string]time.Time)
	for _, o := range leaving {
		gone[o.id] = o.deregister()
		w.note("worker %s leaves: its entry is removed, it never reports draining and serves on", o.id)
	}
	sleep(w.ctx, 300*time.Millisecond)
	if w.trouble {
		w.store.setStaleAge(func(machine string) time.Duration {
			if machine == killed[0].name {
				return 0
			}
			return staleReadAge
		})
		for _, e := range killed {
			e.signal(syscall.SIGKILL)
		}
		w.note("three of six entries are killed: %s, %s, %s", killed[0].name, killed[1].name, killed[2].name)
	}
	if w.trouble {
		for i, e := range killed {
			sleep(w.ctx, 400*time.Millisecond)
			if err := e.start(); err != nil {
				return 0, err
			}
			w.note("%s is started again", e.name)
			if i == 0 {
				if err := e.awaitReady(); err != nil {
					return 0, err
				}
			}
		}
	}
	sleep(w.ctx, 18*time.Second)
	for _, o := range leaving {
		o.exit()
	}
	w.note("the workers that left exit")
	sleep(w.ctx, 2*time.Second)
	return w.checkDrain(gone), nil
}

// checkDrain returns how many requests reached a worker later than drainTime after the store had accepted its leaving, from an entry in touch.
func (w *world) checkDrain(gone map[string]time.Time) int {
	byID := make(map[string]attempt)
	for _, a := range w.traffic.all() {
		byID[a.id] = a
	}
	broken, unsafe := 0, 0
	first := make(map[string]arrival)
	for _, o := range w.workers {
		left, ok := gone[o.id]
		if !ok {
			continue
		}
		for _, a := range o.seen() {
			from, known := byID[a.id]
			if !known || a.at.Sub(left) <= drainTime {
				continue
			}
			e := w.entry(from.entry)
			if !e.inTouch(from.sent) || !e.inTouch(a.at) {
				continue
			}
			broken++
			if a.method == "POST" {
				unsafe++
			}
			if _, ok := first[e.name+o.id]; !ok {
				first[e.name+o.id] = a
				w.note("DRAIN: request %s of %s reaches %s %.1f s after the store accepted its leaving", a.id, e.name, o.id, a.at.Sub(left).Seconds())
			}
		}
	}
	w.note("DRAIN: %d requests in all reached workers more than %.1f s after their leaving, from entries in touch; %d of them orders", broken, drainTime.Seconds(), unsafe)
	lost := 0
	for _, a := range w.traffic.all() {
		if a.method == "POST" && a.status != 200 && a.status != 503 && w.entry(a.entry).inTouch(a.sent) {
			lost++
		}
	}
	w.note("orders through entries in touch that got neither a success nor a promise: %d", lost)
	return broken
}
