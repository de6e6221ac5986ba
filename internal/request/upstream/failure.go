package upstream

import (
	"fmt"
	"time"
)

// Kind is the way in which a call failed.
type Kind uint8

// The kinds of failure.
const (
	ConnectFailed  Kind = iota // ConnectFailed means that no connection could be opened.
	ConnectionLost             // ConnectionLost means that the connection ended before a whole answer.
	InvalidAnswer              // InvalidAnswer means that the bytes received are not a valid answer to this request.
	Cancelled                  // Cancelled means that the call's context has ended.
	Withheld                   // Withheld means that BeforeSend returned false.
)

// String returns the kind as written in logs.
func (k Kind) String() string {
	switch k {
	case ConnectFailed:
		return "refused"
	case ConnectionLost:
		return "broken"
	case InvalidAnswer:
		return "garbled"
	case Withheld:
		return "withheld"
	default:
		return "cancelled"
	}
}

// Failure is a call without an answer.
type Failure struct {
	kind        Kind
	sent        bool
	connectTime time.Duration
	err         error
}

// Kind returns the way in which the call failed.
func (f *Failure) Kind() Kind { return f.kind }

// Sent reports whether the target may have received the request.
func (f *Failure) Sent() bool { return f.sent }

// ConnectTime returns the time from the call to the first byte sent, or to the failure when no byte was sent.
func (f *Failure) ConnectTime() time.Duration { return f.connectTime }

// Error returns the kind and the cause.
func (f *Failure) Error() string { return fmt.Sprintf("upstream: %s: %v", f.kind, f.err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }
