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

// trusted reports whether a request carries the peer token. It compares digests in constant time,
// so that response times reveal neither content nor length of the token.
func (f *Forwarder) trusted(h http.Header) bool {
	v := h[headerPeerKey]
	if len(v) != 1 {
		return false
	}
	given := sha256.Sum256([]byte(v[0]))
	return subtle.ConstantTimeCompare(given[:], f.tokenDigest[:]) == 1
}

// checkPeer checks a request that another entry relays.
func (f *Forwarder) checkPeer(r *http.Request) (*job, *verdict.Error) {
	hop, err := singleHeader(r.Header, headerHop)
	if err != nil {
		return nil, err
	}
	n, perr := strconv.Atoi(hop)
	if perr != nil || n < 1 {
		return nil, notRunError(400, verdict.ReasonBadInput, "Hop is %q, want 1 to %d", hop, maxHops)
	}
	if n > maxHops {
		return nil, notRunError(503, verdict.ReasonTooManyHops, "request has been relayed %d times, the limit is %d", n, maxHops)
	}
	j, _, err := f.checkCommon(r)
	if err != nil {
		return nil, err
	}
	j.hops, j.relayed = n, true
	j.granted = r.Header.Get(headerGranted) == "1"
	if j.homeRegion = r.Header.Get(headerHome); j.homeRegion == "" {
		j.homeRegion = f.settings.Region
	}
	if j.tenant == "" {
		return nil, notRunError(401, verdict.ReasonTenant, "header Tenant is missing")
	}
	return j, f.setDeadline(j)
}

// ServePeer serves requests that other entries relay, their queries about attempts, and their probes.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	if !f.trusted(r.Header) {
		f.refuse(w, notRunError(403, verdict.ReasonBadInput, "Peer-Key is missing or wrong"))
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
		f.refuse(w, withoutKeyProof(r, err))
		return
	}
	id, err := singleHeader(r.Header, headerAttempt)
	if err != nil {
		f.refuse(w, err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if id != "" {
		w.Header()[headerAttempt] = []string{id}
		if state, ok := f.attempts.start(id, cancel); !ok {
			f.refuse(w, duplicateAttempt(state))
			return
		}
		defer f.attempts.end(id)
	}
	f.serve(ctx, w, j)
}

// duplicateAttempt returns the refusal of an attempt whose id is already known here; only a dropped one has not run.
func duplicateAttempt(state string) *verdict.Error {
	if state == "dropped" {
		return notRunError(503, verdict.ReasonCancelled, "attempt was cancelled before it arrived")
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonRepeat, 502, errors.New("forward: attempt has already been received"))
}

func (f *Forwarder) serveAttempt(w http.ResponseWriter, r *http.Request, id string) {
	state := "unknown"
	switch r.Method {
	case http.MethodGet:
		state = f.attempts.state(id)
	case http.MethodDelete:
		state = f.attempts.cancel(id)
	}
	writeJSON(w, map[string]any{"state": state, "up": f.uptime().Milliseconds()})
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // The error is ignored: the peer has disconnected.
}
