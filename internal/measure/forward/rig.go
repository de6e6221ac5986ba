package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

// targetCount is the number of targets behind the entry, chosen so that none
// reaches its limit of 400 connections at 400 callers.
const targetCount = 4

// testbed is an entry with its targets, all on loopback.
type testbed struct {
	doc          *document.Document
	targets      []document.Target
	nextTarget   atomic.Uint64
	entryAddress string
	pool         *pool.Pool
	servers      []*http.Server
	wait         sync.WaitGroup
	responseBody []byte
	work         time.Duration
	uploadsEnded chan struct{} // uploadsEnded is closed to end the stalled uploads.
}

func newTestbed(s Settings) (*testbed, error) {
	r := &testbed{responseBody: make([]byte, s.Size), work: s.Work, uploadsEnded: make(chan struct{})}
	for i := range targetCount {
		address, err := r.listenAndServe(&http.Server{Handler: http.HandlerFunc(r.serveTarget), ReadHeaderTimeout: time.Minute})
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		r.targets = append(r.targets, document.NewTarget(document.TargetFields{Name: "t" + strconv.Itoa(i), Address: address, MaxConns: 400}))
	}
	r.doc = document.New(document.Fields{
		Services: []document.Service{document.NewService(document.ServiceFields{Name: "search", Timeout: time.Minute, MaxTimeout: time.Hour, MaxBodyBytes: 1 << 40})},
		Tenants:  []document.Tenant{document.NewTenant("shop", "", nil)},
	})
	return r, r.startEntry(s)
}

func (r *testbed) startEntry(s Settings) error {
	var d net.Dialer
	var err error
	if r.pool, err = pool.New(pool.Settings{}, d.DialContext); err != nil {
		return err
	}
	settings, err := forward.Settings{Name: "entry", Key: "measure"}.Check()
	if err != nil {
		return err
	}
	f, err := forward.New(settings, forward.Dependencies{
		Chooser: r, Peers: r, Configuration: r, TargetPool: r.pool, EntryPool: r.pool,
		Log: event.New(log.NewNopLogger()), Seed: s.Seed,
	})
	if err != nil {
		return err
	}
	address, err := r.listenAndServe(settings.Server(http.HandlerFunc(f.ServeCaller)))
	r.entryAddress = address.String()
	return err
}

func (r *testbed) listenAndServe(s *http.Server) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("forward: listen: %w", err)
	}
	r.servers = append(r.servers, s)
	r.wait.Go(func() { _ = s.Serve(l) }) // Serve returns ErrServerClosed.
	return netip.ParseAddrPort(l.Addr().String())
}

func (r *testbed) close() error {
	var errs []error
	for _, s := range r.servers {
		errs = append(errs, s.Close())
	}
	if r.pool != nil {
		r.pool.Close()
	}
	r.wait.Wait()
	return errors.Join(errs...)
}

// serveTarget responds after its work, except to an upload, of which it reads one byte and then stalls.
func (r *testbed) serveTarget(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength > 0 {
		_, _ = io.ReadFull(q.Body, make([]byte, 1))
		<-r.uploadsEnded
		panic(http.ErrAbortHandler)
	}
	time.Sleep(r.work)
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(r.responseBody))}
	_, _ = w.Write(r.responseBody)
}

// Document returns the configuration of the testbed.
func (r *testbed) Document() *document.Document { return r.doc }

// RelayAddress reports that there is no other entry.
func (r *testbed) RelayAddress(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false }

// Choose returns the targets round-robin and rejects retries.
func (r *testbed) Choose(_ context.Context, q forward.Request, _ uint64) (forward.Choice, error) {
	if len(q.Avoid) > 0 {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, http.StatusServiceUnavailable, nil)
	}
	return choice{&r.targets[r.nextTarget.Add(1)%targetCount]}, nil
}

type choice struct{ target *document.Target }

// Target returns the chosen target.
func (c choice) Target() (document.Target, bool) { return *c.target, true }

// Entry returns the empty name: the request is not relayed to another entry.
func (c choice) Entry() string { return "" }

// Done does nothing.
func (c choice) Done(forward.Result) {}
