package pool

import "fmt"

// Kind is the way in which an exchange failed.
type Kind uint8

// The kinds of failures.
const (
	Connect   Kind = iota // Connect means that no connection could be opened.
	Cut                   // Cut means that the connection ended or the response was malformed.
	Silent                // Silent means that no byte arrived within the progress deadline.
	Cancelled             // Cancelled means that the context ended first.
)

// String returns the kind as a word for log lines.
func (k Kind) String() string {
	return [...]string{"connect", "cut", "silent", "cancelled"}[k]
}

// Failure is the error of an exchange without a response.
type Failure struct {
	kind    Kind
	written bool
	err     error
}

// Kind returns how the exchange failed.
func (f *Failure) Kind() Kind { return f.kind }

// Written reports whether a byte of the request may have left this process.
// False is proof: the connection refuses every later write.
func (f *Failure) Written() bool { return f.written }

// Error returns the kind, whether the request was written, and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("pool: %s (request written: %t): %v", f.kind, f.written, f.err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }
