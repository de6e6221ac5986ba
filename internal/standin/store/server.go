package store

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// longest bounds a request: a value in base64 and its envelope.
const longest = 2 * Limit

// Settings are the limits of the stand-in.
type Settings struct {
	Key    string // Key is the token that clients send; empty accepts all.
	Reads  int    // Reads is the most reads per second; 0 means no limit.
	Writes int    // Writes is the most writes per second; 0 means no limit.
	Clock  Clock  // Clock gives the time; nil means the real one.
}

// Server is the stand-in as an http.Handler; it is safe for concurrent use.
type Server struct {
	key                   string
	clock                 Clock
	mux                   *http.ServeMux
	table                 *table
	faults                faults
	counters              counters
	calls                 sync.WaitGroup // calls through Transport
	readLimit, writeLimit *rate.Limiter
}

// New returns a stand-in without keys.
func New(s Settings) *Server {
	if s.Clock == nil {
		s.Clock = realClock{}
	}
	v := &Server{
		key: s.Key, clock: s.Clock, mux: http.NewServeMux(), table: newTable(),
		faults:    faults{restart: make(chan struct{})},
		readLimit: limiter(s.Reads), writeLimit: limiter(s.Writes),
	}
	v.mux.HandleFunc("GET /get", v.get)
	v.mux.HandleFunc("GET /list", v.list)
	v.mux.HandleFunc("GET /watch", v.watch)
	v.mux.HandleFunc("POST /put", v.put)
	v.mux.HandleFunc("POST /delete", v.remove)
	v.mux.HandleFunc("POST /grant", v.grant)
	v.mux.HandleFunc("POST /renew", v.renew)
	return v
}

type valueWire struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

type leaseWire struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl,omitempty"` // milliseconds
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if s.key != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.key)) != 1 {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	down, _, delay, _ := s.faults.state()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if !s.admit(r.Method == http.MethodPost, s.clock.Now()) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	if delay > 0 {
		// A slow service carries a write out even when its client has gone.
		<-s.clock.After(delay)
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.FormValue("key")
	i, _, err := s.table.get(key, s.clock.Now())
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, valueWire{Key: key, Data: i.data, Revision: i.revision, Lease: i.lease})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	answer(w, map[string]any{"values": s.table.list(r.FormValue("prefix"), s.clock.Now())})
}

// watch answers when the key's revision is above after, or with 204 after the time given as wait in milliseconds.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.counters.waiting.Add(1)
	defer s.counters.waiting.Add(-1)
	key := r.FormValue("key")
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	if err != nil || err2 != nil || wait <= 0 {
		http.Error(w, "after and wait must be numbers", http.StatusBadRequest)
		return
	}
	end := s.clock.After(time.Duration(wait) * time.Millisecond)
	for {
		_, silent, _, restart := s.faults.state()
		i, changed, err := s.table.get(key, s.clock.Now())
		if err == nil && i.revision > after && !silent {
			answer(w, valueWire{Key: key, Data: i.data, Revision: i.revision, Lease: i.lease})
			return
		}
		select {
		case <-changed:
		case <-restart:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-end:
			if _, silent, _, _ := s.faults.state(); !silent {
				w.WriteHeader(http.StatusNoContent)
				return
			}
			end = nil
		}
	}
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var in valueWire
	if !decode(w, r, &in) {
		return
	}
	if len(in.Data) > Limit || in.Key == "" {
		http.Error(w, "value above 1 MB or empty key", http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.table.put(in, s.clock.Now())
	s.written(w, in.Key, valueWire{Key: in.Key, Revision: revision}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var in valueWire
	if decode(w, r, &in) {
		s.written(w, in.Key, in, s.table.remove(in.Key, in.Revision, s.clock.Now()))
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var in leaseWire
	if !decode(w, r, &in) {
		return
	}
	if in.TTL <= 0 {
		http.Error(w, "ttl must be positive", http.StatusBadRequest)
		return
	}
	in.Lease = s.table.grant(time.Duration(in.TTL)*time.Millisecond, s.clock.Now())
	s.written(w, "", in, nil)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var in leaseWire
	if decode(w, r, &in) {
		s.written(w, "", in, s.table.renew(in.Lease, s.clock.Now()))
	}
}

// written answers a write, or cuts the connection when its answer is to be lost.
func (s *Server) written(w http.ResponseWriter, key string, out any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	s.faults.mu.Lock()
	lost := s.faults.lost > 0 && strings.HasPrefix(key, s.faults.prefix)
	if lost {
		s.faults.lost--
	}
	fall := lost && s.faults.fall
	if fall {
		s.faults.fall = false
	}
	s.faults.mu.Unlock()
	if fall {
		s.SetDown(true)
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, out)
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, longest)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(out)
}

func fail(w http.ResponseWriter, err error) {
	code := http.StatusConflict
	switch {
	case errors.Is(err, errNotFound):
		code = http.StatusNotFound
	case errors.Is(err, errLease):
		code = http.StatusGone
	}
	http.Error(w, err.Error(), code)
}
