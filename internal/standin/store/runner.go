package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Runner serves the stand-in on a TCP address.
type Runner struct {
	listener net.Listener
	server   *http.Server
}

// Listen returns a runner on the address, such as 127.0.0.1:0.
func Listen(ctx context.Context, address string, s *Server) (*Runner, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("standin store: %w", err)
	}
	return NewRunner(l, s), nil
}

// NewRunner returns a runner on an open listener.
func NewRunner(l net.Listener, s *Server) *Runner {
	return &Runner{l, &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}}
}

// URL returns the base URL for clients.
func (r *Runner) URL() string { return "http://" + r.listener.Addr().String() }

// Run serves until ctx ends and then closes all connections.
func (r *Runner) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.server.Close() })
	defer stop()
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("standin store: %w", err)
	}
	return nil
}
