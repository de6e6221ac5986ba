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

// storeServer serves the store and records when the configuration head changes.
type storeServer struct {
	store        *store.Server
	listener     net.Listener
	accepted     chan time.Time // the time of an acceptance; later ones are dropped until it is received
	downOnAccept atomic.Bool    // downOnAccept takes the store down at the next acceptance
}

func newStoreServer() (*storeServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &storeServer{store: store.New(store.Settings{}), listener: l, accepted: make(chan time.Time, 1)}, nil
}

func (s *storeServer) url() string { return "http://" + s.listener.Addr().String() }

// run serves until ctx ends.
func (s *storeServer) run(ctx context.Context) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP passes the request to the store. A version is accepted with the write of the configuration head; the time of the
// acceptance is taken when the store responds to that write.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/put" {
		s.store.ServeHTTP(w, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	var put struct{ Key string }
	if err != nil || json.Unmarshal(data, &put) != nil {
		http.Error(w, "invalid request body", http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	out := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	s.store.ServeHTTP(out, r)
	if put.Key != "config/head" || out.status != http.StatusOK {
		return
	}
	if s.downOnAccept.Swap(false) {
		s.store.SetDown(true)
	}
	select {
	case s.accepted <- time.Now():
	default:
	}
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (a *statusRecorder) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}
