package world

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/internal/soak/proxy"
	"tamarackspool/platform/platformtest"
)

// movingPrefix is the path prefix of the moving rule, whose service the configuration changes.
const movingPrefix = "/m/"

// target is a target behind a proxy. The proxy's address is the registered one.
type target struct {
	*platformtest.Target
	proxy    *proxy.Proxy
	server   *http.Server
	draining bool // draining is set once the target has begun to drain.
}

// serviceTimes holds the service time of each service. Orders and uploads take long
// enough to be in flight when an entry stops.
var serviceTimes = map[string]time.Duration{"s1": 30 * time.Millisecond, "s2": 150 * time.Millisecond, "s3": 500 * time.Millisecond}

func newTarget(id, service, zone string, startedMillis int64) (*target, error) {
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
			ID: id, Service: service, Zone: zone, Slots: 6, StartedMillis: startedMillis, Address: p.Address(), ServiceTime: serviceTimes[service],
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

// hasNumber reports whether the target's number leaves the remainder after division by n. Where it decides in place of a
// draw, the seeds that are kept play the same steps.
func (t *target) hasNumber(remainder, n int) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(t.ID, "t"))
	return err == nil && number%n == remainder
}

// runs returns the requests that the target ran, for the ledger.
func (t *target) runs() []ledger.Run {
	var runs []ledger.Run
	for _, r := range t.Runs() {
		runs = append(runs, ledger.Run{
			ID: r.ID, Target: t.ID, Service: t.Service, MovingRule: strings.HasPrefix(r.Path, movingPrefix), At: r.At,
		})
	}
	return runs
}

// arrivals returns the requests that reached the target, for the ledger.
func (t *target) arrivals() []ledger.Arrival {
	var list []ledger.Arrival
	for _, a := range t.Arrivals() {
		list = append(list, ledger.Arrival{ID: a.ID, Target: t.ID, Service: t.Service, At: a.At})
	}
	return list
}

// addAnnouncements adds what the target announced to the ledger.
func (t *target) addAnnouncements(l *ledger.Ledger) {
	for _, a := range t.Announcements() {
		l.AddAnnouncement(ledger.Announcement{ID: a.ID, Target: t.ID, At: a.At, Leaving: a.Leaving, Pause: a.Pause})
	}
}

func (t *target) close(ctx context.Context) {
	t.proxy.Close()
	_ = t.server.Shutdown(ctx)
	_ = t.server.Close()
}
