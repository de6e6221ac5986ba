package forward

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"tamarackspool/internal/request/verdict"
)

// trusted compares digests in constant time, so that neither content nor length of the token shows in response times.
func (f *Forwarder) trusted(h http.Header) bool {
	v := h[headerPeerKey]
	if len(v) != 1 {
		return false
	}
	given := sha256.Sum256([]byte(v[0]))
	return subtle.ConstantTimeCompare(given[:], f.token[:]) == 1
}

// checkPeer checks a request that another entry relays.
func (f *Forwarder) checkPeer(r *http.Request) (*job, *verdict.Error) {
	hop, err := single(r.Header, headerHop)
	if err != nil {
		return nil, err
	}
	n, perr := strconv.Atoi(hop)
	if perr != nil || n < 1 {
		return nil, bad(400, verdict.ReasonInput, "Hop %q, accepted is 1 to %d", hop, maxHops)
	}
	if n > maxHops {
		return nil, bad(503, verdict.ReasonHops, "request has passed %d entries, accepted are %d", n, maxHops)
	}
	j, _, err := f.checkCommon(r)
	if err != nil {
		return nil, err
	}
	j.hops, j.relayed = n, true
	j.granted = r.Header.Get(headerGranted) == "1"
	if j.home = r.Header.Get(headerHome); j.home == "" {
		j.home = f.s.Region
	}
	if j.tenant == "" {
		return nil, bad(401, verdict.ReasonTenant, "header Tenant is missing")
	}
	return j, f.checkTimes(j)
}

// ServePeer serves requests that other entries relay, their questions about attempts, and their probes.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	if !f.trusted(r.Header) {
		f.refuse(w, bad(403, verdict.ReasonInput, "Peer-Key is missing or wrong"))
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/attempt/"); ok {
		f.serveAttempt(w, r, id)
		return
	}
	if r.URL.Path == "/load" {
		writeJSON(w, struct{}{})
		return
	}
	j, err := f.checkPeer(r)
	if err != nil {
		f.refuse(w, beforeHome(r, err))
		return
	}
	id, err := single(r.Header, headerAttempt)
	if err != nil {
		f.refuse(w, err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if id != "" {
		if known, ok := f.attempts.start(id, cancel); !ok {
			f.refuse(w, arrivedAgain(known))
			return
		}
		defer f.attempts.end(id)
	}
	f.serve(ctx, w, j)
}

// arrivedAgain refuses an attempt that this entry knows already; only a dropped one has not run.
func arrivedAgain(known string) *verdict.Error {
	if known == "dropped" {
		return bad(503, verdict.ReasonCancelled, "attempt was cancelled before it arrived")
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonRepeat, 502, errors.New("forward: attempt has arrived before"))
}

func (f *Forwarder) serveAttempt(w http.ResponseWriter, r *http.Request, id string) {
	state := "unknown"
	switch r.Method {
	case http.MethodGet:
		state = f.attempts.state(id)
	case http.MethodDelete:
		state = f.attempts.cancel(id)
	}
	writeJSON(w, map[string]string{"state": state})
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // A peer that has gone needs no answer.
}
