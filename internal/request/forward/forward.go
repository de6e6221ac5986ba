package forward

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/request/verdict"
)

// Forwarder forwards requests to targets and is safe for concurrent use.
type Forwarder struct {
	settings          Settings
	deps              Dependencies
	tokenDigest       [sha256.Size]byte
	attemptPrefix     string        // attemptPrefix makes the ids of attempts unique across processes.
	serial            atomic.Uint64 // serial is the last number that was used for an attempt's id or for random.
	countersByService sync.Map      // countersByService maps a service's name to its *counters.
	attempts          *attemptTable
	logLimiter        eventLimiter
	started           time.Time
}

// uptime returns the time since the forwarder was created.
func (f *Forwarder) uptime() time.Duration { return f.deps.Now().Sub(f.started) }

// New returns a forwarder, or an error that names the invalid setting.
func New(s Settings, d Dependencies) (*Forwarder, error) {
	s, err := s.Check()
	if err != nil {
		return nil, err
	}
	if d.Chooser == nil || d.Peers == nil || d.Configuration == nil || d.TargetPool == nil || d.EntryPool == nil || d.Log == nil {
		return nil, errors.New("forward: a dependency other than Deduplicator, Links, HomeRegion, FreeSlots, Now and Metrics is missing")
	}
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Metrics == nil {
		d.Metrics = metrics.NewRegistry()
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, fmt.Errorf("forward: no random bytes: %w", err)
	}
	return &Forwarder{
		settings: s, deps: d, tokenDigest: sha256.Sum256([]byte(s.Key)),
		attemptPrefix: hex.EncodeToString(id[:]) + "-", attempts: newAttemptTable(), started: d.Now(),
	}, nil
}

// ServeCaller serves a caller's request to /run/<service>/<path>.
func (f *Forwarder) ServeCaller(w http.ResponseWriter, r *http.Request) {
	j, err := f.checkCaller(r)
	if err != nil {
		f.refuse(w, withoutKeyProof(r, err))
		return
	}
	f.serve(r.Context(), w, j)
}

// withoutKeyProof changes NotRun to MayHaveRun in a refusal that is made before the
// owner of the idempotency key was queried: an earlier attempt with the key may have
// run. Bad input keeps its verdict, because no earlier attempt with it was forwarded.
func withoutKeyProof(r *http.Request, err *verdict.Error) *verdict.Error {
	if !keyUnchecked(r) || err.Verdict() != verdict.NotRun || err.Reason() == verdict.ReasonBadInput || err.Reason() == verdict.ReasonTenant {
		return err
	}
	return verdict.NewError(verdict.MayHaveRun, err.Reason(), err.Status(), err).WithRetryAfter(err.RetryAfter())
}

// keyUnchecked reports whether a request has an idempotency key whose owner was not queried yet.
func keyUnchecked(r *http.Request) bool {
	return r.Header.Get(headerKey) != "" && r.Header.Get(headerGranted) == ""
}

// serve forwards a checked request and answers it.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	j.counters.requests.Inc(1)
	if !j.relayed {
		j.counters.retryBudget.RecordRequest(f.uptime())
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(j.deadline.Sub(f.deps.Now())))
	defer cancel()
	j.writer, j.ctx, j.avoid = w, ctx, j.avoidArray[:0]
	f.reportFreeSlots(j)
	if err := f.receiveBody(j); err != nil {
		f.refuseAndCount(j, err)
		return
	}
	defer j.body.releaseBuffer()
	if j.body.rest != nil {
		defer j.body.rest.stop()
		// Without full duplex, the server discards the rest of the body when the
		// response starts. A test's response recorder does not support the call.
		_ = http.NewResponseController(w).EnableFullDuplex()
		j.writer = &closingWriter{w, j.body.rest}
	}
	j.header = make(http.Header, len(j.request.Header)+8)
	copyHeader(j.header, j.request.Header, dropFromRequest)
	if _, ok := j.header["User-Agent"]; !ok {
		j.header["User-Agent"] = emptyUserAgent
	}
	if j.service.AtMostOnce() && !j.granted {
		f.serveOnce(j)
		return
	}
	a, err := f.makeAttempts(j)
	if err != nil {
		f.refuseAndCount(j, err)
		return
	}
	f.deliver(j, a)
}

// reportFreeSlots sets the Free header of a relayed request's response to the number of free slots here.
func (f *Forwarder) reportFreeSlots(j *job) {
	if !j.relayed || f.deps.FreeSlots == nil {
		return
	}
	if n, ok := f.deps.FreeSlots(j.service.Name()); ok {
		j.writer.Header().Set(headerFree, strconv.Itoa(n))
	}
}

// emptyUserAgent keeps net/http from adding its own User-Agent header.
var emptyUserAgent = []string{""}

func (f *Forwarder) receiveBody(j *job) *verdict.Error {
	until, _ := j.ctx.Deadline()
	b, err := readBody(j.writer, j.request, f.bodyLimit(j.service), f.settings.Slow, until)
	switch {
	case errors.Is(err, errBodyTooLong):
		return notRunError(413, verdict.ReasonBadInput, "body is longer than the %d bytes that service %s accepts", f.bodyLimit(j.service), j.service.Name())
	case err != nil:
		// The body of a retry may be cut although the first request was received completely and may have run.
		if keyUnchecked(j.request) {
			return verdict.NewError(verdict.MayHaveRun, verdict.ReasonBadInput, 400, err)
		}
		return verdict.NewError(verdict.NotRun, verdict.ReasonBadInput, 400, err)
	}
	j.body = b
	return nil
}

// refuseAndCount counts the verdict of an error and answers with it.
func (f *Forwarder) refuseAndCount(j *job, err *verdict.Error) {
	j.counters.countVerdict(err.Verdict())
	f.refuse(j.writer, err)
}

// refuse answers the request with an error and its verdict.
func (f *Forwarder) refuse(w http.ResponseWriter, err *verdict.Error) {
	h := w.Header()
	h[headerVerdict] = []string{err.Verdict().String()}
	h[headerReason] = []string{string(err.Reason())}
	h[headerVia] = []string{f.settings.Name}
	if d := err.RetryAfter(); d > 0 {
		h[headerRetryAfter] = []string{strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)}
	}
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	text := err.Error() + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(err.Status())
	_, _ = w.Write([]byte(text)) // The error is ignored: the caller has disconnected.
}

// random returns the random number at the given position of a seeded sequence (SplitMix64).
func (f *Forwarder) random(serial uint64) uint64 {
	z := f.deps.Seed + serial*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
