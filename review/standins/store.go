//go:build review

package main

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the store that the platform's pages give.
const (
	historyTime    = 20 * time.Second
	pageItems      = 500
	pageBytes      = 1 << 20
	maxKeyBytes    = 200
	maxValueBytes  = 1 << 20
	maxTxnEntries  = 32
	longestWait    = 30 * time.Second
	shortestLease  = time.Second
	longestLease   = 10 * time.Minute
	storeAnswerLag = 4 * time.Millisecond
)

// storeItem is a key with its value, or its removal, at a revision.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"createRevision,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type storeChange struct {
	item storeItem
	at   time.Time
}

// storeState is the content of the store from a time on.
type storeState struct {
	at    time.Time
	rev   uint64
	items map[string]storeItem
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in for the platform's store.
type store struct {
	mu        sync.Mutex
	items     map[string]storeItem
	rev       uint64
	floor     uint64 // floor is the revision up to which the history was discarded.
	history   []storeChange
	past      []storeState
	leases    map[uint64]*storeLease
	lastLease uint64
	changed   chan struct{}
	// staleAge returns how old the answer to the next stale read of a machine is.
	staleAge func(machine string) time.Duration
	note     func(format string, args ...any)
}

func newStore(note func(string, ...any)) *store {
	return &store{
		items: make(map[string]storeItem), rev: 100, leases: make(map[uint64]*storeLease), changed: make(chan struct{}),
		staleAge: func(string) time.Duration { return 0 }, note: note,
	}
}

// listen serves the calls of one machine on an address of its own.
func (s *store) listen(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) }),
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return l.Addr().String(), nil
}

// set writes a key as the operator or a worker does, and returns when the store has accepted it.
func (s *store) set(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// remove removes a key and returns when the store has accepted it.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.del(key)
}

// setStaleAge sets the function that gives the age of stale reads.
func (s *store) setStaleAge(f func(machine string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleAge = f
}

// put, del, keep and trim are called with mu held.
func (s *store) put(key string, value []byte, lease uint64) time.Time {
	it := storeItem{Key: key, Value: value, Rev: s.rev + 1, Created: s.rev + 1, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	return s.keep(it)
}

func (s *store) del(key string) time.Time {
	if _, ok := s.items[key]; !ok {
		return time.Now()
	}
	return s.keep(storeItem{Key: key, Rev: s.rev + 1, Removed: true})
}

func (s *store) keep(it storeItem) time.Time {
	now := time.Now()
	if len(s.past) == 0 {
		s.past = append(s.past, storeState{rev: s.rev, items: maps.Clone(s.items)})
	}
	s.rev = it.Rev
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, storeChange{it, now})
	s.past = append(s.past, storeState{now, s.rev, maps.Clone(s.items)})
	s.trim(now)
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// trim discards the history that is older than historyTime.
func (s *store) trim(now time.Time) {
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.floor = s.history[0].item.Rev
		s.history = s.history[1:]
	}
	for len(s.past) > 1 && now.Sub(s.past[1].at) > historyTime {
		s.past = s.past[1:]
	}
}

// stateAt returns the content at a time.
func (s *store) stateAt(at time.Time) storeState {
	for _, p := range slices.Backward(s.past) {
		if !p.at.After(at) {
			return p
		}
	}
	if len(s.past) > 0 {
		return s.past[0]
	}
	return storeState{rev: s.rev, items: s.items}
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerLag)
	status, answer := s.handle(machine, r)
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type object = map[string]any

func (s *store) handle(machine string, r *http.Request) (int, any) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/v1/kv-key":
		return s.get(q.Get("key"))
	case r.Method == http.MethodGet && path == "/v1/kv-range":
		return s.list(machine, q.Get("prefix"), q.Get("after"), q.Get("allowStale") == "1")
	case r.Method == http.MethodGet && path == "/v1/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, err2 := strconv.Atoi(q.Get("waitMs"))
		if err != nil || err2 != nil || wait < 0 || time.Duration(wait)*time.Millisecond > longestWait {
			return http.StatusBadRequest, object{}
		}
		return s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.Method == http.MethodPost && path == "/v1/kv-txn":
		return s.txn(r)
	case r.Method == http.MethodPost && path == "/v1/kv-lease":
		return s.grant(r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/v1/kv-keep/"):
		return s.renew(path[len("/v1/kv-keep/"):])
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/v1/kv-lease-end/"):
		return s.end(path[len("/v1/kv-lease-end/"):])
	}
	return http.StatusBadRequest, object{}
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, object{"storeRevision": s.rev}
	}
	return http.StatusOK, object{
		"key": it.Key, "value": it.Value, "rev": it.Rev, "createRevision": it.Created, "lease": it.Lease, "storeRevision": s.rev,
	}
}

func (s *store) list(machine, prefix, after string, stale bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := storeState{rev: s.rev, items: s.items}
	if stale {
		age := s.staleAge(machine)
		state = s.stateAt(time.Now().Add(-age))
		s.note("store: a stale read of %s is answered with revision %d, %.1f s old; the newest is %d", machine, state.rev, age.Seconds(), s.rev)
	}
	var keys []string
	for k := range state.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size := []storeItem{}, 0
	for _, k := range keys {
		it := state.items[k]
		if len(items) > 0 && (len(items) == pageItems || size+len(it.Value) > pageBytes) {
			break
		}
		size += len(it.Value)
		items = append(items, it)
	}
	return http.StatusOK, object{"items": items, "hasMore": len(items) < len(keys), "storeRevision": state.rev}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		s.trim(time.Now())
		if after < s.floor {
			s.mu.Unlock()
			return http.StatusGone, object{}
		}
		events := []storeItem{}
		for _, c := range s.history {
			if c.item.Rev > after && strings.HasPrefix(c.item.Key, prefix) {
				events = append(events, c.item)
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, object{"events": events, "storeRevision": rev}
		}
		select {
		case <-changed:
		case <-t.C:
			return http.StatusOK, object{"events": events, "storeRevision": rev}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, object{}
		}
	}
}

func (s *store) txn(r *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Put []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"putEntries"`
		Delete []string `json:"deleteKeys"`
	}
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || len(body.Precondition)+len(body.Put)+len(body.Delete) > maxTxnEntries {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Precondition {
		if s.items[c.Key].Rev == c.Rev {
			continue
		}
		current := []storeItem{}
		for _, c := range body.Precondition {
			if it, ok := s.items[c.Key]; ok {
				current = append(current, it)
			}
		}
		return http.StatusPreconditionFailed, object{"items": current}
	}
	keys := slices.Clone(body.Delete)
	for _, p := range body.Put {
		keys = append(keys, p.Key)
		if len(p.Key) > maxKeyBytes || len(p.Value) > maxValueBytes {
			return http.StatusBadRequest, object{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, object{}
		}
	}
	for _, k := range keys {
		if strings.HasPrefix(k, "op/") || strings.HasPrefix(k, "servers/") {
			return http.StatusForbidden, object{}
		}
	}
	for _, p := range body.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Delete {
		s.del(k)
	}
	return http.StatusOK, object{"rev": s.rev}
}

func (s *store) grant(r *http.Request) (int, any) {
	var body struct {
		TTL float64 `json:"ttlS_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, object{}
	}
	ttl := max(shortestLease, min(longestLease, time.Duration(body.TTL*float64(time.Second))))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &storeLease{ttl, time.AfterFunc(ttl, func() { s.expire(id) })}
	return http.StatusOK, object{"lease": id, "ttlS_time": ttl.Seconds()}
}

func (s *store) renew(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(text, 10, 64)
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, object{}
	}
	l.timer.Reset(l.ttl)
	return http.StatusOK, object{"lease": id, "ttlS_time": l.ttl.Seconds()}
}

func (s *store) end(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	if !s.expire(id) {
		return http.StatusNotFound, object{}
	}
	return http.StatusOK, object{}
}

// expire ends a lease and removes its keys.
func (s *store) expire(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.del(k)
	}
	return true
}
