package order

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"tamarackspool/internal/request/ticket"
	"tamarackspool/internal/request/verdict"
)

// exportLimit bounds the recorded answers in a handover in bytes; beyond it only verdicts are handed over.
const exportLimit = 4 << 20

type wireRecord struct {
	Tenant  string              `json:"tenant"`
	Service string              `json:"service"`
	Key     string              `json:"key"`
	Request uint64              `json:"request"`
	State   string              `json:"state"`
	Status  int                 `json:"status,omitempty"`
	Header  map[string][]string `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
}

type wireHandover struct {
	Issuer  []byte       `json:"issuer"`
	Floor   uint64       `json:"floor"`
	Records []wireRecord `json:"records"`
}

// Close makes the table refuse new keys for good and leaves running ones alone.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Export returns the outcomes of a closed table for its successors; keys that still run count as may-have-run.
// An open table returns an error, because a key could start after the export. The floor must be read after Close.
func (t *Table) Export(issuer ticket.Incarnation, floor uint64) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		return nil, errors.New("order: only a closed table can be exported")
	}
	e := wireHandover{Issuer: issuer[:], Floor: floor}
	size := 0
	for _, r := range t.records {
		w := wireRecord{Tenant: r.key.tenant, Service: r.key.service, Key: r.key.text, Request: r.request, State: "uncertain"}
		if r.phase == answered {
			w.State = "ran"
			if r.answer != nil && size+r.answer.size() <= exportLimit {
				size += r.answer.size()
				w.Status, w.Header, w.Body = r.answer.status, r.answer.header, r.answer.body
			}
		}
		e.Records = append(e.Records, w)
	}
	return json.Marshal(e)
}

type handover struct {
	floor   uint64
	records map[Key]wireRecord
	until   time.Time
}

// Handovers holds the outcomes of stopped incarnations and may be used by several goroutines.
type Handovers struct {
	mu      sync.Mutex
	byOwner map[ticket.Incarnation]handover
}

// NewHandovers returns an empty set.
func NewHandovers() *Handovers {
	return &Handovers{byOwner: make(map[ticket.Incarnation]handover)}
}

// Add takes over an exported table and returns the incarnation that it belonged to.
func (s *Handovers) Add(data []byte, now time.Time) (ticket.Incarnation, error) {
	var w wireHandover
	if err := json.Unmarshal(data, &w); err != nil {
		return ticket.Incarnation{}, fmt.Errorf("order: handover cannot be read: %w", err)
	}
	if len(w.Issuer) != len(ticket.Incarnation{}) {
		return ticket.Incarnation{}, fmt.Errorf("order: handover names an incarnation of %d bytes, want %d", len(w.Issuer), len(ticket.Incarnation{}))
	}
	l := handover{floor: w.Floor, records: make(map[Key]wireRecord, len(w.Records)), until: now.Add(Validity)}
	for _, r := range w.Records {
		l.records[NewKey(r.Tenant, r.Service, r.Key)] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for owner, old := range s.byOwner {
		if now.After(old.until) {
			delete(s.byOwner, owner)
		}
	}
	s.byOwner[ticket.Incarnation(w.Issuer)] = l
	return ticket.Incarnation(w.Issuer), nil
}

// Recall returns what is known of a ticket of a stopped incarnation; ok is false when its outcomes were not handed over.
func (s *Handovers) Recall(tk ticket.Ticket, k Key, request uint64, now time.Time) (answer *Answer, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.byOwner[tk.Issuer()]
	if !found || now.After(l.until) {
		return nil, false, nil
	}
	r, used := l.records[k]
	switch {
	case !used && tk.Serial() < l.floor:
		return nil, true, issuerGone()
	case !used:
		return nil, true, verdict.New(verdict.NotRun, verdict.ReasonIssuer, http.StatusConflict,
			errors.New("order: the entry that issued this ticket has stopped before the ticket was used; fetch a new ticket"))
	case r.Request != request:
		return nil, true, reused()
	case r.State != "ran":
		return nil, true, verdict.New(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusBadGateway,
			errors.New("order: an earlier request with this key may have run"))
	case r.Status == 0:
		return nil, true, verdict.New(verdict.Ran, verdict.ReasonRepeat, http.StatusConflict,
			errors.New("order: an earlier request with this key has run; its answer is no longer kept"))
	}
	return NewAnswer(r.Status, r.Header, r.Body), true, nil
}

func issuerGone() error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIssuer, http.StatusBadGateway,
		errors.New("order: the entry that issued this ticket is gone; the order may have run and will not run again"))
}
