package store

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
)

// errCut is what a client sees when the connection was cut before the response.
var errCut = errors.New("standin store: connection cut before the response")

// Transport returns a transport that calls the stand-in in the same process, without a network, so that
// a test can run it under testing/synctest. A call whose context ends goes on in the stand-in.
func (s *Server) Transport() http.RoundTripper { return transport{s} }

type transport struct{ s *Server }

// RoundTrip carries out one call.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	out := make(chan *http.Response, 1)
	go func() {
		defer close(out)
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		w := httptest.NewRecorder()
		t.s.ServeHTTP(w, r)
		out <- w.Result()
	}()
	select {
	case resp, ok := <-out:
		if !ok {
			return nil, errors.Join(errCut, io.ErrUnexpectedEOF)
		}
		resp.Request = r
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
