package world

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/internal/soak/proxy"
	"tamarackspool/platform/platformtest"
)

// movePrefix begins the paths of the rule that moves between services.
const movePrefix = "/m/"

// target is a target behind a proxy, whose address is the registered one.
type target struct {
	*platformtest.Target
	proxy  *proxy.Proxy
	server *http.Server
	left   bool // left is set once the target has begun to leave.
}

// works is how long the requests of a service run. Orders and uploads are
// long enough to be in progress at a stop.
var works = map[string]time.Duration{"s1": 30 * time.Millisecond, "s2": 150 * time.Millisecond, "s3": 500 * time.Millisecond}

func newTarget(id, service, zone string, born int64) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := proxy.New(l.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &target{
		Target: &platformtest.Target{
			ID: id, Service: service, Zone: zone, Slots: 6, Born: born, Address: p.Address(), Work: works[service],
		},
		proxy: p,
	}
	t.server = &http.Server{Handler: t.Target, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := t.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("world: target %s: %v", id, err))
		}
	}()
	return t, nil
}

// runs returns what the target ran, as the ledger takes it.
func (t *target) runs() []ledger.Run {
	var runs []ledger.Run
	for _, r := range t.Runs() {
		runs = append(runs, ledger.Run{
			ID: r.ID, Target: t.ID, Service: t.Service, Switch: strings.HasPrefix(r.Path, movePrefix), At: r.At,
		})
	}
	return runs
}

// arrivals returns what reached the target, as the ledger takes it.
func (t *target) arrivals() []ledger.Arrival {
	var list []ledger.Arrival
	for _, a := range t.Arrivals() {
		list = append(list, ledger.Arrival{ID: a.ID, Service: t.Service, At: a.At})
	}
	return list
}

func (t *target) close(ctx context.Context) {
	t.proxy.Close()
	_ = t.server.Shutdown(ctx)
	_ = t.server.Close()
}
