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

// targets is the number of targets behind the entry, so that none reaches its
// 400 connections at 400 callers.
const targets = 4

// rig is an entry with its targets, all on loopback.
type rig struct {
	doc     *document.Document
	targets []document.Target
	next    atomic.Uint64
	entry   string
	pool    *pool.Pool
	servers []*http.Server
	wait    sync.WaitGroup
	body    []byte
	stalled chan struct{} // stalled is closed to end uploads.
}

func newRig(s Settings) (*rig, error) {
	r := &rig{body: make([]byte, s.Size), stalled: make(chan struct{})}
	for i := range targets {
		at, err := r.serve(&http.Server{Handler: http.HandlerFunc(r.target), ReadHeaderTimeout: time.Minute})
		if err != nil {
			return nil, errors.Join(err, r.close())
		}
		r.targets = append(r.targets, document.NewTarget(document.TargetFields{Name: "t" + strconv.Itoa(i), Address: at, MaxConns: 400}))
	}
	r.doc = document.New(document.Fields{
		Services: []document.Service{document.NewService(document.ServiceFields{Name: "search", Timeout: time.Minute, MaxTimeout: time.Hour, MaxBodyBytes: 1 << 40})},
		Tenants:  []document.Tenant{document.NewTenant("shop", "", nil)},
	})
	return r, r.start(s)
}

func (r *rig) start(s Settings) error {
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
	at, err := r.serve(settings.Server(http.HandlerFunc(f.ServeCaller)))
	r.entry = at.String()
	return err
}

func (r *rig) serve(s *http.Server) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("forward: listen: %w", err)
	}
	r.servers = append(r.servers, s)
	r.wait.Go(func() { _ = s.Serve(l) }) // Serve ends with ErrServerClosed.
	return netip.ParseAddrPort(l.Addr().String())
}

func (r *rig) close() error {
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

// target answers at once; an upload is read up to its first byte and then stalls.
func (r *rig) target(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength > 0 {
		_, _ = io.ReadFull(q.Body, make([]byte, 1))
		<-r.stalled
		panic(http.ErrAbortHandler)
	}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	_, _ = w.Write(r.body)
}

// Document returns the configuration of the rig.
func (r *rig) Document() *document.Document { return r.doc }

// RelayAddress knows no other entry.
func (r *rig) RelayAddress(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false }

// Choose takes the targets in turn.
func (r *rig) Choose(_ context.Context, q forward.Request, _ uint64) (forward.Choice, error) {
	if len(q.Avoid) > 0 {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, http.StatusServiceUnavailable, nil)
	}
	return choice{&r.targets[r.next.Add(1)%targets]}, nil
}

type choice struct{ t *document.Target }

// Target returns the target chosen.
func (c choice) Target() (document.Target, bool) { return *c.t, true }

// Entry returns no entry.
func (c choice) Entry() string { return "" }

// Done records nothing.
func (c choice) Done(forward.Result) {}
