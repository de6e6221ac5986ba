package inbound

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request with its whole body.
type Request struct {
	Method  string
	Target  string // Target is the request target as the caller wrote it.
	Path    string // Path is the path of the target without its query, undecoded.
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time // Arrived is when the first byte was there, although it may have been left unread behind an order.

	held  int64 // held is how many bytes of the body count as held.
	close bool  // close says that the caller takes no further answer on the connection.
	old   bool  // old is set for HTTP/1.0.
}

// Answer is what a caller receives.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser // Rest follows Body and may be nil; an error other than io.EOF cuts the connection.
	Length int64         // Length is that of Body and Rest; negative when unknown.
	Close  bool          // Close ends the connection behind the answer.
	Cut    func(error)   // Cut is called when the answer could not be written whole; it may be nil.
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	Held          int64 // Held is how many bytes of bodies are held at once, of all requests together.
}

// Handler answers requests; its methods are called from several goroutines.
type Handler interface {
	// Serve returns the answer, or nil to close the connection without one.
	// The context ends when the caller has left.
	Serve(ctx context.Context, r *Request) *Answer
	// Repeatable reports whether a caller may safely send the request again,
	// which it does when an earlier answer closes the connection.
	Repeatable(r *Request) bool
	// Limits returns the limits in force.
	Limits() Limits
}

// Refusal returns an answer without a body for the status.
func Refusal(status int) *Answer {
	return &Answer{Status: status, Header: http.Header{}}
}
