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

// maxExportedAnswerBytes is the maximum total size of the answers in a handover; further records carry only their verdict.
const maxExportedAnswerBytes = 4 << 20

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

// Close makes the table refuse new keys permanently; running requests continue.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Export returns the outcomes of a closed table for its successors; keys of running requests count as may-have-run.
// An open table returns an error, because a request could start after the export. lowestSerial is the result
// of Issuer.LowestValidSerial, which the caller must read after Close.
func (t *Table) Export(issuer ticket.Incarnation, lowestSerial uint64) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		return nil, errors.New("order: the table must be closed before it is exported")
	}
	e := wireHandover{Issuer: issuer[:], Floor: lowestSerial}
	size := 0
	for _, r := range t.records {
		w := wireRecord{Tenant: r.key.tenant, Service: r.key.service, Key: r.key.text, Request: r.request, State: "uncertain"}
		if r.phase == completed {
			w.State = "ran"
			if r.answer != nil && size+r.answer.size() <= maxExportedAnswerBytes {
				size += r.answer.size()
				w.Status, w.Header, w.Body = r.answer.status, r.answer.header, r.answer.body
			}
		}
		e.Records = append(e.Records, w)
	}
	return json.Marshal(e)
}

type handover struct {
	lowestSerial uint64
	records      map[Key]wireRecord
	expiresAt    time.Time
}

// Handovers holds the outcomes of stopped incarnations and is safe for concurrent use.
type Handovers struct {
	mu            sync.Mutex
	byIncarnation map[ticket.Incarnation]handover
}

// NewHandovers returns an empty set.
func NewHandovers() *Handovers {
	return &Handovers{byIncarnation: make(map[ticket.Incarnation]handover)}
}

// Add stores an exported table and returns the incarnation that exported it.
func (s *Handovers) Add(data []byte, now time.Time) (ticket.Incarnation, error) {
	var w wireHandover
	if err := json.Unmarshal(data, &w); err != nil {
		return ticket.Incarnation{}, fmt.Errorf("order: invalid handover: %w", err)
	}
	if len(w.Issuer) != len(ticket.Incarnation{}) {
		return ticket.Incarnation{}, fmt.Errorf("order: the incarnation in the handover has %d bytes, want %d", len(w.Issuer), len(ticket.Incarnation{}))
	}
	h := handover{lowestSerial: w.Floor, records: make(map[Key]wireRecord, len(w.Records)), expiresAt: now.Add(TicketValidity)}
	for _, r := range w.Records {
		h.records[NewKey(r.Tenant, r.Service, r.Key)] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, old := range s.byIncarnation {
		if now.After(old.expiresAt) {
			delete(s.byIncarnation, incarnation)
		}
	}
	s.byIncarnation[ticket.Incarnation(w.Issuer)] = h
	return ticket.Incarnation(w.Issuer), nil
}

// Lookup returns the recorded answer or verdict for a ticket of a stopped incarnation; ok is false if the
// incarnation's outcomes were not handed over.
func (s *Handovers) Lookup(tk ticket.Ticket, k Key, request uint64, now time.Time) (answer *Answer, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, found := s.byIncarnation[tk.Issuer()]
	if !found || now.After(h.expiresAt) {
		return nil, false, nil
	}
	r, used := h.records[k]
	switch {
	case !used && tk.Serial() < h.lowestSerial:
		return nil, true, issuerGoneError()
	case !used:
		return nil, true, verdict.NewError(verdict.NotRun, verdict.ReasonIssuerGone, http.StatusConflict,
			errors.New("order: the entry that issued this ticket stopped before the ticket was used; request a new ticket"))
	case r.Request != request:
		return nil, true, keyReusedError()
	case r.State != "ran":
		return nil, true, verdict.NewError(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusBadGateway,
			errors.New("order: an earlier request with this key may have run"))
	case r.Status == 0:
		return nil, true, verdict.NewError(verdict.Ran, verdict.ReasonRepeat, http.StatusConflict,
			errors.New("order: an earlier request with this key has run; its response is no longer stored"))
	}
	return NewAnswer(r.Status, r.Header, r.Body), true, nil
}

func issuerGoneError() error {
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonIssuerGone, http.StatusBadGateway,
		errors.New("order: the entry that issued this ticket is gone; the request may have run and will not run again"))
}
