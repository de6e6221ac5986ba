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

// Directory answers look-ups.
type Directory interface {
	Answer(q lookup.Query, now time.Time) (lookup.Answer, error)
}

// Issuer issues order tickets.
type Issuer interface {
	Issue(tenant, service string, count int, now time.Time) []string
}

// Entry is the state of the entry that serves.
type Entry interface {
	Document() *document.Document // Document is nil before the first adoption.
	Ready() bool                  // Ready means that the configuration is at or above the floor.
	Leaving() bool                // Leaving means that a graceful shutdown has begun.
}

// Dependencies are what a gateway uses; all are safe for concurrent use.
type Dependencies struct {
	Entry     Entry
	Directory Directory
	Issuer    Issuer
	Forward   http.HandlerFunc // Forward serves /run/.
	Name      string
	TTL       time.Duration // TTL is how long callers may keep a look-up.
}

// Gateway is the handler of the callers' port.
type Gateway struct {
	d   Dependencies
	mux *http.ServeMux
}

// New returns a gateway.
func New(d Dependencies) *Gateway {
	g := &Gateway{d: d, mux: http.NewServeMux()}
	g.mux.HandleFunc("GET /lookup", g.ready(g.lookup))
	g.mux.HandleFunc("POST /ticket", g.ready(g.ticket))
	// Forward refuses by itself without a configuration: for an order it must not claim proof.
	g.mux.HandleFunc("/run/", d.Forward)
	g.mux.HandleFunc("GET /healthz", g.health)
	return g
}

// ServeHTTP serves a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

var errIsolated = verdict.New(verdict.NotRun, verdict.ReasonIsolated, http.StatusServiceUnavailable,
	errors.New("gateway: no configuration at or above the floor yet")).WithRetryAfter(time.Second)

// ready refuses requests until the entry has a configuration that it may serve.
func (g *Gateway) ready(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !g.d.Entry.Ready() {
			g.refuse(w, errIsolated)
			return
		}
		next(w, r)
	}
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !g.d.Entry.Ready():
		http.Error(w, "isolated", http.StatusServiceUnavailable)
	case g.d.Entry.Leaving():
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
			g.refuse(w, bad(http.StatusBadRequest, "client %q is not an IP address", text))
			return
		}
		q.Client = client
	}
	a, err := g.d.Directory.Answer(q, time.Now())
	if err != nil {
		g.refuse(w, err)
		return
	}
	answer := lookupWire{Version: a.Version(), Service: q.Service, Region: a.Region(), TTL: g.d.TTL.Seconds(), Entries: []entryWire{}}
	for _, e := range a.Entries() {
		answer.Entries = append(answer.Entries, entryWire{e.Name(), e.Address().String(), e.Zone()})
	}
	reply(w, answer)
}

// clientOf returns the address of the connection's other end.
func clientOf(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr()
}

// maxTickets is the most tickets that one request returns.
const maxTickets = 100

type ticketWire struct {
	Tickets []string `json:"tickets"`
	TTL     float64  `json:"ttl"`
}

func (g *Gateway) ticket(w http.ResponseWriter, r *http.Request) {
	if g.d.Entry.Leaving() {
		g.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonLeaving, http.StatusServiceUnavailable,
			errors.New("gateway: the entry is leaving; ask another one for tickets")))
		return
	}
	tenant, service, err := g.checkTicket(r)
	if err != nil {
		g.refuse(w, err)
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, perr := strconv.Atoi(text)
		if perr != nil || n < 1 || n > maxTickets {
			g.refuse(w, bad(http.StatusBadRequest, "count %q, accepted is 1 to %d", text, maxTickets))
			return
		}
		count = n
	}
	reply(w, ticketWire{g.d.Issuer.Issue(tenant, service, count, time.Now()), order.Validity.Seconds()})
}

func bad(status int, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonInput, status, fmt.Errorf("gateway: "+format, args...))
}

// refuse answers with an error and its verdict.
func (g *Gateway) refuse(w http.ResponseWriter, err error) {
	e, ok := errors.AsType[*verdict.Error](err)
	if !ok {
		e = verdict.New(verdict.NotRun, verdict.ReasonInput, http.StatusInternalServerError, err)
	}
	h := w.Header()
	h.Set("Verdict", e.Verdict().String())
	h.Set("Reason", string(e.Reason()))
	h.Set("Via", g.d.Name)
	if d := e.RetryAfter(); d > 0 {
		h.Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
	http.Error(w, e.Error(), e.Status())
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
