package forward

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

// Request describes a request to the Chooser.
type Request struct {
	Service  string
	Home     string   // Home is the caller's region.
	Hops     int      // Hops is the number of relays that the request has passed.
	Avoid    []string // Avoid names the targets and entries that were tried already.
	Deadline time.Time
	Relayed  bool // Relayed means that the request is served here or refused.
}

// Kind is the way in which an attempt ended.
type Kind uint8

// The ways in which an attempt ends.
const (
	Answered  Kind = iota // Answered means that a whole response was received.
	Shed                  // Shed means that the target refused before it started.
	Failed                // Failed means that the connection failed or the response was cut.
	Cancelled             // Cancelled means that the caller left or the deadline passed.
	Silent                // Silent means that nothing arrived on the connection.
)

// Result is the outcome of an attempt.
type Result struct {
	Kind    Kind
	Latency time.Duration // Latency is the time until the response header arrived.
	Out, In int64         // Out and In are the bytes of the bodies of request and response.
	Counted bool          // Counted means that the other entry sent its count of free slots.
	Free    int           // Free is that count.
	// Unopened means that no connection could be opened.
	Unopened bool
}

// Choice is where an attempt goes. It holds a slot until Done, which is called exactly once.
type Choice interface {
	Target() (document.Target, bool)
	Entry() string // Entry is the entry to relay to when there is no target.
	Done(Result)
}

// Chooser decides where an attempt goes; its error is a *verdict.Error.
type Chooser interface {
	Choose(ctx context.Context, r Request, draw uint64) (Choice, error)
}

// Peers knows where other entries take relayed requests.
type Peers interface {
	Pass(entry string) (netip.AddrPort, bool)
}

// Key identifies an order.
type Key struct {
	Tenant, Service, Text string
	Request               uint64 // Request identifies method and path, by which a key reused for another request is known.
}

// Answer is the recorded outcome of an order.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Whole  bool // Whole says that Body is the complete response; a longer one is not kept.
}

// Run is the right to run an order once; exactly one of its methods is called.
type Run interface {
	Finish(Answer)
	Fail(verdict.Verdict)
}

// Grant says what happens with an order: exactly one field is set.
type Grant struct {
	Run    Run     // Run is set when the order is dispatched here.
	Entry  string  // Entry is the home of the key when that is another entry.
	Answer *Answer // Answer is the recorded outcome.
}

// Orders keeps each order to one run; its error is a *verdict.Error.
type Orders interface {
	Begin(ctx context.Context, k Key) (Grant, error)
}

// Configuration holds the configuration in force.
type Configuration interface {
	Document() *document.Document // Document is nil before the first adoption.
}

// Pacer holds relayed bytes back until their link has room.
type Pacer interface {
	WaitOut(ctx context.Context, n int) error
	WaitIn(ctx context.Context, n int) error
}

// Links finds the pacer of the link to a region; nil means that the link is not paced.
type Links interface {
	Link(region string) Pacer
}

// Log writes numbered events.
type Log interface {
	Log(n event.Number, keyvals ...any)
}

// Dependencies are what a Forwarder uses; all are safe for concurrent use.
type Dependencies struct {
	Chooser       Chooser
	Peers         Peers
	Orders        Orders // Orders may be nil where no service has once.
	Configuration Configuration
	Links         Links                          // Links may be nil.
	Home          func(caller netip.Addr) string // Home returns a caller's region; nil or an empty result means the entry's own.
	// Free returns this entry's free slots of a service, which relayed answers carry; it may be nil.
	Free    func(service string) (int, bool)
	Targets *pool.Pool
	Entries *pool.Pool // Entries is the pool of connections to other entries; its Header must be that of PeerHeader.
	Now     func() time.Time
	Log     Log
	Metrics metrics.Registry
	Seed    uint64
}
