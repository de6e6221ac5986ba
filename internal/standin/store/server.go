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

// maxRequestBytes bounds a request: a value in base64 and its JSON envelope.
const maxRequestBytes = 2 * MaxValueBytes

// Settings are the token, the rate limits and the clock of the stand-in.
type Settings struct {
	Token           string // Token is the token that clients send; empty accepts all.
	ReadsPerSecond  int    // ReadsPerSecond is the most reads per second; 0 means no limit.
	WritesPerSecond int    // WritesPerSecond is the most writes per second; 0 means no limit.
	Clock           Clock  // Clock gives the time; nil means the real one.
}

// Server is the stand-in as an http.Handler; it is safe for concurrent use.
type Server struct {
	token                 string
	clock                 Clock
	mux                   *http.ServeMux
	table                 *table
	faults                faults
	counters              counters
	calls                 sync.WaitGroup // calls counts the running calls through Transport.
	readLimit, writeLimit *rate.Limiter
}

// New returns a stand-in without keys.
func New(s Settings) *Server {
	if s.Clock == nil {
		s.Clock = realClock{}
	}
	v := &Server{
		token: s.Token, clock: s.Clock, mux: http.NewServeMux(), table: newTable(),
		faults:    faults{restart: make(chan struct{})},
		readLimit: newLimiter(s.ReadsPerSecond), writeLimit: newLimiter(s.WritesPerSecond),
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
	Revision uint64 `json:"revision"` // Revision is the revision of the value; in a put or delete request, the expected one.
	Lease    uint64 `json:"lease,omitempty"`
}

type leaseWire struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl,omitempty"` // TTL is in milliseconds.
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if s.token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
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
		// A slow service completes a write even if its client has disconnected, so r.Context isn't watched.
		<-s.clock.After(delay)
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.FormValue("key")
	i, _, err := s.table.get(key, s.clock.Now())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, valueWire{Key: key, Data: i.data, Revision: i.revision, Lease: i.lease})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, map[string]any{"values": s.table.list(r.FormValue("prefix"), s.clock.Now())})
}

// watch responds when the key's revision is above after, or with 204 when the wait in milliseconds has passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.counters.waiting.Add(1)
	defer s.counters.waiting.Add(-1)
	key := r.FormValue("key")
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	if err != nil || waitErr != nil || wait <= 0 {
		http.Error(w, "after and wait must be numbers", http.StatusBadRequest)
		return
	}
	end := s.clock.After(time.Duration(wait) * time.Millisecond)
	for {
		_, silent, _, restart := s.faults.state()
		i, changed, err := s.table.get(key, s.clock.Now())
		if err == nil && i.revision > after && !silent {
			writeJSON(w, valueWire{Key: key, Data: i.data, Revision: i.revision, Lease: i.lease})
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
	if len(in.Data) > MaxValueBytes || in.Key == "" {
		http.Error(w, "value above 1 MB or empty key", http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.table.put(in, s.clock.Now())
	s.respondToWrite(w, in.Key, valueWire{Key: in.Key, Revision: revision}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var in valueWire
	if decode(w, r, &in) {
		s.respondToWrite(w, in.Key, in, s.table.remove(in.Key, in.Revision, s.clock.Now()))
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
	s.respondToWrite(w, "", in, nil)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var in leaseWire
	if decode(w, r, &in) {
		s.respondToWrite(w, "", in, s.table.renew(in.Lease, s.clock.Now()))
	}
}

// respondToWrite responds to a write, or closes the connection when the response is to be lost.
func (s *Server) respondToWrite(w http.ResponseWriter, key string, out any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	s.faults.mu.Lock()
	lost := s.faults.lostCount > 0 && strings.HasPrefix(key, s.faults.keyPrefix)
	if lost {
		s.faults.lostCount--
	}
	goDown := lost && s.faults.downWithLoss
	if goDown {
		s.faults.downWithLoss = false
	}
	s.faults.mu.Unlock()
	if goDown {
		s.SetDown(true)
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, out)
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(out)
}

func writeError(w http.ResponseWriter, err error) {
	code := http.StatusConflict
	switch {
	case errors.Is(err, errNotFound):
		code = http.StatusNotFound
	case errors.Is(err, errLeaseExpired):
		code = http.StatusGone
	}
	http.Error(w, err.Error(), code)
}
