//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// manyRoutes is what seven changes of the kind big_config add: a configuration of about 0.6 MB, below the 1 MB that the store takes.
	manyRoutes = 2450
	stormGap   = 330 * time.Millisecond
	stormTime  = 4 * time.Second
)

// playWatch stops one entry as planned and starts it again, while configurations of 0.6 MB come in quick succession.
// Its first read of the store is 4.5 s old.
func playWatch(w *world) (int, error) {
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
	services := []string{"mektup-oku", "cizim-arsiv"}
	for _, s := range services {
		if err := w.addWorkers(s, 6, 100*time.Millisecond, zones...); err != nil {
			return 0, err
		}
	}
	many := make([]route, manyRoutes)
	for i := range many {
		many[i] = route{fmt.Sprintf("r-%07d", i), fmt.Sprintf("/kota%d/si%d/", i, i%97), "safe", services[i%2], 1.5}
	}
	version := 4
	configure := func(timeout float64, more ...route) time.Time {
		version++
		data := configuration(version, append(append([]route{{"r-durum", "/durum/", "safe", "mektup-oku", timeout}}, more...), many...), services...)
		at := w.store.set("op/config", data)
		w.note("version %d is confirmed, %d bytes", version, len(data))
		return at
	}
	configure(1.5, route{"r-tasinan", "/tasinan/", "safe", "mektup-oku", 1.5})
	if err := w.startEntries(); err != nil {
		return 0, err
	}
	w.startClients(3, zones, func(zone string) *client {
		return &client{
			zone: zone, entries: w.entries, traffic: w.traffic, pause: 200 * time.Millisecond, limit: 4 * time.Second,
			next: func(r *rand.Rand) (method, path, object string) {
				object = fmt.Sprint(zone, r.IntN(20))
				return http.MethodGet, "/durum/" + object, object
			},
		}
	})
	sleep(w.ctx, 6*time.Second)

	e := w.entry("front-marmara-a-1")
	var confirmed time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := time.Now().Add(stormTime); time.Now().Before(end); sleep(w.ctx, stormGap) {
			configure(1.5+rand.Float64(), route{"r-tasinan", "/tasinan/", "safe", "mektup-oku", 1.5})
		}
		confirmed = configure(2, route{"r-tasinan", "/tasinan/", "safe", "cizim-arsiv", 1.5}, route{"r-yeni", "/yeni/", "safe", "cizim-arsiv", 1.5})
	}()
	if w.trouble {
		sleep(w.ctx, 1200*time.Millisecond)
		w.store.setStaleAge(func(string) time.Duration { return 4500 * time.Millisecond })
		w.note("%s gets SIGTERM", e.name)
		<-e.signal(syscall.SIGTERM)
		w.note("%s has ended", e.name)
		sleep(w.ctx, 300*time.Millisecond)
		if err := e.start(); err != nil {
			return 0, err
		}
		w.note("%s is started again", e.name)
		if err := e.awaitReady(); err != nil {
			return 0, err
		}
	}
	<-done
	for end := time.Now().Add(22 * time.Second); time.Now().Before(end) && w.ctx.Err() == nil; sleep(w.ctx, 400*time.Millisecond) {
		for _, o := range w.entries {
			for _, path := range []string{"/yeni/1", "/tasinan/1"} {
				w.clients.Go(func() { w.traffic.send(w.ctx, o, http.MethodGet, path, "1", "", 4*time.Second) })
			}
		}
	}
	return w.checkConfiguration(confirmed), nil
}

// checkConfiguration returns how many requests were handled as only an older version allows, sent later than
// configApply after the confirmation of the last version and by entries in touch.
func (w *world) checkConfiguration(confirmed time.Time) int {
	services := make(map[string]string)
	for _, o := range w.workers {
		services[o.id] = o.service
	}
	broken := make(map[string]int)
	first, last := make(map[string]time.Time), make(map[string]time.Time)
	total := 0
	for _, a := range w.traffic.all() {
		if a.path != "/yeni/1" && a.path != "/tasinan/1" || a.sent.Sub(confirmed) <= configApply || !w.entry(a.entry).inTouch(a.sent) {
			continue
		}
		what := ""
		switch {
		case a.path == "/yeni/1" && a.status == http.StatusNotFound:
			what = "refused with 404 though the route is there"
		case a.path == "/tasinan/1" && services[a.stamp] == "mektup-oku":
			what = "run by the old service"
		default:
			continue
		}
		total++
		key := a.entry + ": " + what
		if broken[key]++; broken[key] == 1 {
			first[key] = a.sent
		}
		last[key] = a.sent
	}
	for key, n := range broken {
		w.note("CONFIG: %s: %d requests, sent %.1f s to %.1f s after the confirmation", key, n, first[key].Sub(confirmed).Seconds(), last[key].Sub(confirmed).Seconds())
	}
	w.note("CONFIG: %d requests in all were handled as only an older version allows, later than %.1f s, by entries in touch", total, configApply.Seconds())
	return total
}
