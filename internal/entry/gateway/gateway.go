package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/fleet/lookup"
	"tamarackspool/internal/request/order"
	"tamarackspool/internal/request/verdict"
)

// Directory finds the entries that a caller should use for a service.
type Directory interface {
	Answer(q lookup.Query, now time.Time) (lookup.Answer, error)
}

// Issuer issues tickets, which are idempotency keys that are bound to an entry.
type Issuer interface {
	Issue(tenant, service string, count int, now time.Time) []string
}

// Entry is the state of the entry that runs the gateway.
type Entry interface {
	Document() *document.Document // Document returns the active configuration, or nil before the first one.
	Ready() bool                  // Ready reports whether the configuration has at least the minimum version.
	Leaving() bool                // Leaving reports whether a graceful shutdown has begun.
}

// Dependencies are the dependencies of a gateway; all must be safe for concurrent use.
type Dependencies struct {
	Entry     Entry
	Directory Directory
	Issuer    Issuer
	Forward   http.HandlerFunc // Forward serves /run/.
	Name      string
	LookupTTL time.Duration // LookupTTL is how long callers may cache the result of a look-up.
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	deps Dependencies
	mux  *http.ServeMux
}

// New returns a gateway with the given dependencies.
func New(d Dependencies) *Gateway {
	g := &Gateway{deps: d, mux: http.NewServeMux()}
	g.mux.HandleFunc("GET /lookup", g.requireReady(g.lookup))
	g.mux.HandleFunc("POST /ticket", g.requireReady(g.ticket))
	// Forward checks for a configuration itself: requireReady would report not-run, which is
	// not proven for a request with an idempotency key.
	g.mux.HandleFunc("/run/", d.Forward)
	g.mux.HandleFunc("GET /healthz", g.health)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

var errIsolated = verdict.NewError(verdict.NotRun, verdict.ReasonIsolated, http.StatusServiceUnavailable,
	errors.New("gateway: no configuration with at least the minimum version yet")).WithRetryAfter(time.Second)

// requireReady rejects requests until the entry has a configuration that it may use.
func (g *Gateway) requireReady(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !g.deps.Entry.Ready() {
			g.writeError(w, errIsolated)
			return
		}
		next(w, r)
	}
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !g.deps.Entry.Ready():
		http.Error(w, "isolated", http.StatusServiceUnavailable)
	case g.deps.Entry.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

type entryWire struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type lookupWire struct {
	Version uint64      `json:"version"`
	Service string      `json:"service"`
	Region  string      `json:"region"`
	TTL     float64     `json:"ttl"`
	Entries []entryWire `json:"entries"`
}

func (g *Gateway) lookup(w http.ResponseWriter, r *http.Request) {
	q := lookup.Query{Service: r.URL.Query().Get("service"), Client: clientOf(r)}
	if text := r.URL.Query().Get("client"); text != "" {
		client, err := netip.ParseAddr(text)
		if err != nil {
			g.writeError(w, inputError(http.StatusBadRequest, "client %q is not an IP address", text))
			return
		}
		q.Client = client
	}
	a, err := g.deps.Directory.Answer(q, time.Now())
	if err != nil {
		g.writeError(w, err)
		return
	}
	answer := lookupWire{Version: a.Version(), Service: q.Service, Region: a.Region(), TTL: g.deps.LookupTTL.Seconds(), Entries: []entryWire{}}
	for _, e := range a.Entries() {
		answer.Entries = append(answer.Entries, entryWire{e.Name(), e.Address().String(), e.Zone()})
	}
	writeJSON(w, answer)
}

// clientOf returns the remote IP address of the connection, or the zero address if it cannot be parsed.
func clientOf(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr()
}

// maxTickets is the maximum number of tickets that one request returns.
const maxTickets = 100

type ticketWire struct {
	Tickets []string `json:"tickets"`
	TTL     float64  `json:"ttl"`
}

func (g *Gateway) ticket(w http.ResponseWriter, r *http.Request) {
	if g.deps.Entry.Leaving() {
		g.writeError(w, verdict.NewError(verdict.NotRun, verdict.ReasonShuttingDown, http.StatusServiceUnavailable,
			errors.New("gateway: the entry is shutting down; request tickets from another entry")))
		return
	}
	tenant, service, err := g.checkTicketRequest(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, parseErr := strconv.Atoi(text)
		if parseErr != nil || n < 1 || n > maxTickets {
			g.writeError(w, inputError(http.StatusBadRequest, "count is %q, must be between 1 and %d", text, maxTickets))
			return
		}
		count = n
	}
	writeJSON(w, ticketWire{g.deps.Issuer.Issue(tenant, service, count, time.Now()), order.TicketValidity.Seconds()})
}

func inputError(status int, format string, args ...any) *verdict.Error {
	return verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, status, fmt.Errorf("gateway: "+format, args...))
}

// writeError writes an error response with the error's verdict and reason.
func (g *Gateway) writeError(w http.ResponseWriter, err error) {
	e, ok := errors.AsType[*verdict.Error](err)
	if !ok {
		e = verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, http.StatusInternalServerError, err)
	}
	h := w.Header()
	h.Set("Verdict", e.Verdict().String())
	h.Set("Reason", string(e.Reason()))
	h.Set("Via", g.deps.Name)
	if d := e.RetryAfter(); d > 0 {
		h.Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
	http.Error(w, e.Error(), e.Status())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
