package inbound

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request with its complete body.
type Request struct {
	Method  string
	Target  string // Target is the request target as the caller wrote it.
	Path    string // Path is the path of the target without its query, undecoded.
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time // Arrived is when the first byte was received; the request may then have waited behind an earlier one before it was parsed.

	bufferedBytes  int64 // bufferedBytes is the part of the body that is counted in Server.bufferedBytes.
	closeRequested bool  // closeRequested is set when the caller accepts no further answer on the connection.
	http10         bool  // http10 is set for HTTP/1.0.
}

// Answer is the response that a caller receives.
type Answer struct {
	Status       int
	Header       http.Header
	Body         []byte
	BodyRest     io.ReadCloser // BodyRest follows Body and may be nil; an error other than io.EOF cuts the connection.
	Length       int64         // Length is the length of Body and BodyRest together in bytes; negative when unknown.
	Close        bool          // Close closes the connection after the answer.
	OnWriteError func(error)   // OnWriteError is called when the answer could not be written completely; it may be nil.
	Release      func()        // Release is called when Body is no longer used; it may be nil.
}

// release ends the use of Body.
func (a *Answer) release() {
	if a.Release != nil {
		a.Release()
	}
	a.Body, a.Release = nil, nil
}

// Limits bounds the size of requests, in bytes, and the time in which they must arrive.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	BufferedBytes int64 // BufferedBytes is the limit on buffered body bytes of all requests together.
}

// Handler answers requests; its methods are called concurrently.
type Handler interface {
	// Serve returns the answer, or nil to close the connection without one.
	// The context is cancelled when the caller disconnects.
	Serve(ctx context.Context, r *Request) *Answer
	// Repeatable reports whether a caller may safely send the request again. A
	// caller does so with the requests that follow an answer which closes the connection.
	Repeatable(r *Request) bool
	// Limits returns the limits in force.
	Limits() Limits
}

// EmptyAnswer returns an answer without a body for the status.
func EmptyAnswer(status int) *Answer {
	return &Answer{Status: status, Header: http.Header{}}
}
