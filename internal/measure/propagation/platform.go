package propagation

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tamarackspool/internal/standin/store"
)

// platform serves the store and notes when the head of the configuration changes.
type platform struct {
	store    *store.Server
	listener net.Listener
	accepted chan time.Time // the time of the newest acceptance
	down     atomic.Bool    // down lets the store go down at the next acceptance
}

func newPlatform() (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &platform{store: store.New(store.Settings{}), listener: l, accepted: make(chan time.Time, 1)}, nil
}

func (p *platform) url() string { return "http://" + p.listener.Addr().String() }

// run serves until ctx ends.
func (p *platform) run(ctx context.Context) error {
	server := &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP answers as the store does. The time of an acceptance is that of the store's answer to the write.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/put" {
		p.store.ServeHTTP(w, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	var put struct{ Key string }
	if err != nil || json.Unmarshal(data, &put) != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	out := &answer{ResponseWriter: w, status: http.StatusOK}
	p.store.ServeHTTP(out, r)
	if put.Key != "config/head" || out.status != http.StatusOK {
		return
	}
	if p.down.Swap(false) {
		p.store.SetDown(true)
	}
	select {
	case p.accepted <- time.Now():
	default:
	}
}

// answer remembers the status.
type answer struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (a *answer) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}
