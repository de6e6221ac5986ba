package caller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests. Read is a GET, Order is a POST with an idempotency key
// and Upload is a POST without one.
const (
	Read   Kind = "read"
	Upload Kind = "upload"
	Order  Kind = "order"
)

// Load is seeded traffic to one service.
type Load struct {
	Service       string
	Kind          Kind
	Rate          float64       // Rate is the mean number of requests per second.
	BodyBytes     int           // BodyBytes is the size of the request body in bytes.
	ResponseBytes int           // ResponseBytes is the requested size of the response body in bytes.
	ServiceTime   time.Duration // ServiceTime is the requested service time; 0 leaves it to the target.
	OwnKeys       bool          // OwnKeys makes the caller choose the idempotency keys of orders itself; otherwise it uses tickets.
	Timeout       time.Duration // Timeout is the deadline of one attempt.
}

// Settings describe one caller.
type Settings struct {
	Name              string
	Tenant            string
	TenantKey         string   // TenantKey is the tenant's key, or empty.
	Client            string   // Client is the client address that look-ups carry, or empty.
	Entries           []string // Entries holds the addresses of the entries that answer look-ups.
	FallbackAddresses []string // FallbackAddresses holds further addresses for look-ups when none of Entries responds.
	Loads             []Load
	Seed              uint64
	MaxAttempts       int // MaxAttempts is the largest number of attempts per request.
	Dial              func(ctx context.Context, network, address string) (net.Conn, error)
	// Path returns the path and query of a request below the service's name.
	Path func(id string, l Load) string
	// Check returns an error when the complete response doesn't answer the request; nil skips the check.
	Check func(id string, l Load, h http.Header, body []byte) error
}
