//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// foreignServer is a server of another system. It knows none of the paths that callers use here.
type foreignServer struct {
	address string

	mu   sync.Mutex
	seen []string // seen holds the ids of the requests that reached it.
}

func newForeignServer() (*foreignServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &foreignServer{address: l.Addr().String()}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.seen = append(f.seen, r.Header.Get("X-Request-Id"))
		f.mu.Unlock()
		http.NotFound(w, r)
	})}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return f, nil
}

// playForeign lets another writer put an entry without the fields version, sequence and born among those of the workers.
func playForeign(w *world) (int, error) {
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
	sleep(w.ctx, 6*time.Second)
	f, err := newForeignServer()
	if err != nil {
		return 0, err
	}
	if w.trouble {
		w.store.set("servers/depo-7", []byte(fmt.Sprintf(
			`{"address":%q,"info":{"service":"hediye-gonder","zone":"marmara-a","slots":6},"status":{"state":"ready","coldLeftS":0}}`, f.address)))
		w.note("another writer puts servers/depo-7, without version, sequence and born")
	}
	sleep(w.ctx, 15*time.Second)
	return w.checkDenied(f), nil
}

// deniedFree and deniedShare are how many refusals of its own the rule allows: a number and one in so many requests.
const (
	deniedFree  = 5
	deniedShare = 500
)

// checkDenied returns how many proper requests ended with a 3xx or 4xx that no worker has given, by entries in touch,
// if they are more than the rule allows.
func (w *world) checkDenied(f *foreignServer) int {
	denied, orders, all := 0, 0, 0
	for _, a := range w.traffic.all() {
		all++
		switch {
		case a.status < 300 || a.status > 499 || a.stamp != "" || !w.entry(a.entry).inTouch(a.sent):
		case a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest || a.status == http.StatusTooManyRequests:
		default:
			if denied++; strings.HasPrefix(a.path, "/hediye/") {
				orders++
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.note("%d requests reached the server that is no worker", len(f.seen))
	w.note("DENIED: %d of %d proper requests ended with a 3xx or 4xx that no worker gave, %d of them orders; allowed are %d", denied, all, orders, deniedFree+all/deniedShare)
	if denied <= deniedFree+all/deniedShare {
		return 0
	}
	return denied
}
