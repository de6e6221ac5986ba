package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

// The verdicts. The zero value is the one that guarantees nothing.
const (
	// MayHaveRun means that the request may or may not have run.
	MayHaveRun Verdict = iota
	// NotRun means that there is proof that the request has not run.
	NotRun
	// Ran means that the complete answer of the target was received.
	Ran
)

// String returns the verdict as written in the Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict written as s; for any other text it returns MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: %q is none of not-run, may-have-run, ran", s)
}

// Reason is a short, stable identifier for the cause of an error, sent in the Reason header.
type Reason string

// The reasons that callers can receive.
const (
	ReasonBadInput         Reason = "bad-input"
	ReasonTenant           Reason = "tenant" // ReasonTenant means that the tenant is missing, unknown, not authenticated or not allowed to use the service.
	ReasonNoCapacity       Reason = "no-room"
	ReasonShiftLimit       Reason = "shift-cap"    // ReasonShiftLimit is the cap on the rate at which traffic moves between regions.
	ReasonLinkLimit        Reason = "link-limit"   // ReasonLinkLimit is the rate limit of the link to another region.
	ReasonRegionLimit      Reason = "region-limit" // ReasonRegionLimit is the limit on the requests in flight in a region.
	ReasonShuttingDown     Reason = "leaving"
	ReasonStaleSnapshot    Reason = "stale-snapshot" // ReasonStaleSnapshot means that the data for choosing a target is too old.
	ReasonIsolated         Reason = "isolated"       // ReasonIsolated means that the entry lacks data from the rest of the fleet, such as a configuration.
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonKeyMemoryFull    Reason = "key-memory-full" // ReasonKeyMemoryFull means that no further idempotency key can be stored.
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonConnect          Reason = "connect" // ReasonConnect means that a connection could not be opened or was lost.
	ReasonShed             Reason = "shed"
	ReasonSilent           Reason = "silent" // ReasonSilent means that nothing arrived on the connection.
	ReasonTruncatedAnswer  Reason = "short-answer"
	ReasonIssuerGone       Reason = "issuer-gone" // ReasonIssuerGone means that the idempotency key is a ticket which has expired or whose issuing entry has stopped.
	ReasonRepeat           Reason = "repeat"      // ReasonRepeat means that the idempotency key or the attempt's id was received before.
	ReasonTooManyHops      Reason = "too-many-hops"
)

// Error is a failed request with its verdict, reason, HTTP status and cause.
type Error struct {
	verdict    Verdict
	reason     Reason
	status     int
	retryAfter time.Duration
	err        error
}

// NewError returns an error with the given verdict, reason, HTTP status and cause.
func NewError(v Verdict, r Reason, status int, cause error) *Error {
	return &Error{verdict: v, reason: r, status: status, err: cause}
}

// Verdict returns what is known about the execution of the request.
func (e *Error) Verdict() Verdict { return e.verdict }

// Reason returns the identifier of the cause.
func (e *Error) Reason() Reason { return e.reason }

// Status returns the HTTP status that the caller receives.
func (e *Error) Status() int { return e.status }

// RetryAfter returns how long the caller should wait before a retry; zero means that no time is stated.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// WithRetryAfter returns a copy of the error that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error returns the reason, the verdict and the cause in one line.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("%s (%s)", e.reason, e.verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.reason, e.verdict, e.err)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.err }

// Of returns the verdict of the *Error in err's chain, or MayHaveRun when there is none, because such an error proves nothing.
func Of(err error) Verdict {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.verdict
	}
	return MayHaveRun
}
