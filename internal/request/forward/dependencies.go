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
	Service    string
	HomeRegion string   // HomeRegion is the caller's region.
	Hops       int      // Hops is the number of relays between entries so far.
	Avoid      []string // Avoid names the targets and entries that were already tried.
	Deadline   time.Time
	LocalOnly  bool // LocalOnly means that the request must be served by a target of this entry or refused.
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Answered  Outcome = iota // Answered means that a complete response was received.
	Shed                     // Shed means that the target shed the request before it started.
	Failed                   // Failed means that the connection failed or the response was cut.
	Cancelled                // Cancelled means that the caller disconnected or the deadline passed.
	Silent                   // Silent means that nothing arrived on the connection.
)

// Result is the outcome of an attempt.
type Result struct {
	Outcome           Outcome
	Latency           time.Duration // Latency is the time until the response header arrived.
	BytesOut, BytesIn int64         // BytesOut and BytesIn are the sizes of the request's and the response's body in bytes.
	FreeKnown         bool          // FreeKnown means that the other entry reported its number of free slots.
	FreeSlots         int           // FreeSlots is that number.
	// ConnectFailed means that no connection could be opened.
	ConnectFailed bool
}

// Choice is the target or entry to which an attempt is sent. It holds a slot until Done, which is called exactly once.
type Choice interface {
	Target() (document.Target, bool)
	Entry() string // Entry returns the name of the entry to relay to when there is no target.
	Done(Result)   // Done releases the slot and records the result.
}

// Chooser chooses the target or entry for an attempt; its error is a *verdict.Error.
type Chooser interface {
	Choose(ctx context.Context, r Request, random uint64) (Choice, error)
}

// Peers returns the addresses at which other entries accept relayed requests.
type Peers interface {
	RelayAddress(entry string) (netip.AddrPort, bool)
}

// IdempotencyKey identifies a request that must run at most once.
type IdempotencyKey struct {
	Tenant, Service, Value string
	RequestHash            uint64 // RequestHash is a hash of method and path, by which reuse of a key for another request is detected.
}

// RecordedAnswer is the recorded outcome of a request that must run at most once.
type RecordedAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Complete bool // Complete is set when Body is the complete response; a longer one is not recorded.
}

// RunPermit is the permission to run a request once; exactly one of its methods is called.
type RunPermit interface {
	Finish(RecordedAnswer)
	Fail(verdict.Verdict)
}

// Grant is the decision on a request that must run at most once: exactly one field is set.
type Grant struct {
	Permit   RunPermit       // Permit is set when the request is dispatched here.
	KeyOwner string          // KeyOwner is the owner of the key when that is another entry.
	Answer   *RecordedAnswer // Answer is the recorded outcome of an earlier request with the key.
}

// Deduplicator ensures by idempotency keys that a request runs at most once; its error is a *verdict.Error.
type Deduplicator interface {
	Begin(ctx context.Context, k IdempotencyKey) (Grant, error)
}

// Configuration holds the configuration in force.
type Configuration interface {
	Document() *document.Document // Document returns nil before a configuration is loaded.
}

// Pacer delays relayed bytes to keep within the rate of their link.
type Pacer interface {
	WaitOut(ctx context.Context, n int) error // WaitOut waits until n bytes may be sent.
	WaitIn(ctx context.Context, n int) error  // WaitIn waits until n more bytes may be received.
}

// Links returns the pacer of the link to a region; nil means that the link is not paced.
type Links interface {
	Link(region string) Pacer
}

// Log writes numbered events.
type Log interface {
	Log(n event.Number, keyvals ...any)
}

// Dependencies is what a Forwarder uses; all are safe for concurrent use.
type Dependencies struct {
	Chooser       Chooser
	Peers         Peers
	Deduplicator  Deduplicator // Deduplicator may be nil when no service runs requests at most once.
	Configuration Configuration
	Links         Links                          // Links may be nil.
	HomeRegion    func(caller netip.Addr) string // HomeRegion returns a caller's region; nil or an empty result means the entry's own.
	// FreeSlots returns the number of this entry's free slots of a service, which responses to relayed requests report; it may be nil.
	FreeSlots  func(service string) (int, bool)
	TargetPool *pool.Pool
	EntryPool  *pool.Pool // EntryPool is the pool of connections to other entries; its Header must be that of PeerHeader.
	Now        func() time.Time
	Log        Log
	Metrics    metrics.Registry
	Seed       uint64
}
