package pool

import "fmt"

// Kind classifies the failure of an exchange.
type Kind uint8

// The kinds of failures.
const (
	ConnectFailed    Kind = iota // ConnectFailed means that no connection could be opened.
	ConnectionBroken             // ConnectionBroken means that the connection was closed or the response was malformed.
	Silent                       // Silent means that the connection made no progress within a timeout, or that the remote side has not received the request.
	Cancelled                    // Cancelled means that the context ended before the response was complete.
)

// String returns the name of the kind for log lines.
func (k Kind) String() string {
	return [...]string{"connect", "cut", "silent", "cancelled"}[k]
}

// Failure is the error of an exchange without a complete response.
type Failure struct {
	kind    Kind
	written bool
	err     error
}

// Kind returns the kind of the failure.
func (f *Failure) Kind() Kind { return f.kind }

// Written reports whether a byte of the request may have left this process.
// False is proof that no byte was sent, because the connection refuses every later write.
func (f *Failure) Written() bool { return f.written }

// Error returns the kind, whether the request was written, and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("pool: %s (request written: %t): %v", f.kind, f.written, f.err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }
