package store

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

// errConnClosed is the error of a call whose connection was closed before the response.
var errConnClosed = errors.New("standin store: connection closed before the response")

// Transport returns a transport that calls the stand-in in the same process, without a network, so that
// a test can run it under testing/synctest. A call whose context ends continues in the stand-in; Close
// waits for such calls.
func (s *Server) Transport() http.RoundTripper { return transport{s} }

// Close ends the waiting watches and returns when all calls through Transport have ended.
func (s *Server) Close() {
	s.closeWatches()
	s.calls.Wait()
}

type transport struct{ s *Server }

// RoundTrip executes one call.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	out := make(chan *http.Response, 1)
	t.s.calls.Go(func() {
		defer close(out)
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		w := &recorder{code: http.StatusOK, header: http.Header{}}
		t.s.ServeHTTP(w, r)
		out <- w.response()
	})
	select {
	case resp, ok := <-out:
		if !ok {
			return nil, errors.Join(errConnClosed, io.ErrUnexpectedEOF)
		}
		resp.Request = r
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// recorder is an http.ResponseWriter that keeps the response of one call.
type recorder struct {
	code   int
	header http.Header
	body   bytes.Buffer
}

// Header returns the header of the response.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader keeps the status; the stand-in calls it at most once.
func (r *recorder) WriteHeader(code int) { r.code = code }

// Write appends to the body.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func (r *recorder) response() *http.Response {
	return &http.Response{
		Status: http.StatusText(r.code), StatusCode: r.code, Header: r.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(r.body.Len()), Body: io.NopCloser(&r.body),
	}
}
