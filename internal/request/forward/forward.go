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

// Forwarder carries requests to targets and is safe for concurrent use.
type Forwarder struct {
	s        Settings
	d        Dependencies
	token    [sha256.Size]byte
	prefix   string // prefix makes the ids of attempts unique across processes.
	serial   atomic.Uint64
	services sync.Map // services maps a service's name to its *counters.
	attempts *attempts
	reported reported
	began    time.Time
}

// uptime returns the time since the forwarder was made.
func (f *Forwarder) uptime() time.Duration { return f.d.Now().Sub(f.began) }

// New returns a forwarder, or an error that names the wrong setting.
func New(s Settings, d Dependencies) (*Forwarder, error) {
	s, err := s.Check()
	if err != nil {
		return nil, err
	}
	if d.Chooser == nil || d.Peers == nil || d.Configuration == nil || d.Targets == nil || d.Entries == nil || d.Log == nil {
		return nil, errors.New("forward: a dependency other than Orders, Links, Home, Now and Metrics is missing")
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
		s: s, d: d, token: sha256.Sum256([]byte(s.Key)),
		prefix: hex.EncodeToString(id[:]) + "-", attempts: newAttempts(), began: d.Now(),
	}, nil
}

// ServeCaller serves a caller's request to /run/<service>/<path>.
func (f *Forwarder) ServeCaller(w http.ResponseWriter, r *http.Request) {
	j, err := f.checkCaller(r)
	if err != nil {
		f.refuse(w, beforeHome(r, err))
		return
	}
	f.serve(r.Context(), w, j)
}

// beforeHome weakens the proof of a refusal that is made before the home of an
// idempotency key was asked: an earlier attempt with the key may have run. Bad
// input keeps its verdict, because no earlier attempt with it was let through.
func beforeHome(r *http.Request, err *verdict.Error) *verdict.Error {
	if !keyed(r) || err.Verdict() != verdict.NotRun || err.Reason() == verdict.ReasonInput || err.Reason() == verdict.ReasonTenant {
		return err
	}
	return verdict.New(verdict.MayHaveRun, err.Reason(), err.Status(), err).WithRetryAfter(err.RetryAfter())
}

// keyed reports whether a request has an idempotency key whose home was not asked yet.
func keyed(r *http.Request) bool {
	return r.Header.Get(headerKey) != "" && r.Header.Get(headerGranted) == ""
}

// serve carries a checked request to its end.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	j.counts.requests.Inc(1)
	if !j.relayed {
		j.counts.retryBudget.Request(f.uptime())
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(j.deadline.Sub(f.d.Now())))
	defer cancel()
	j.w, j.ctx, j.avoid = w, ctx, j.tried[:0]
	f.countFree(j)
	if err := f.takeBody(j); err != nil {
		f.tell(j, err)
		return
	}
	defer j.body.free()
	if j.body.rest != nil {
		defer j.body.rest.stop()
		// Otherwise the server throws the rest of the body away when the
		// response starts. A recorder in a test does not know the call.
		_ = http.NewResponseController(w).EnableFullDuplex()
		j.w = &ending{w, j.body.rest}
	}
	j.header = make(http.Header, len(j.r.Header)+8)
	copyHeader(j.header, j.r.Header, drop)
	if _, ok := j.header["User-Agent"]; !ok {
		j.header["User-Agent"] = noAgent
	}
	if j.service.Once() && !j.granted {
		f.order(j)
		return
	}
	a, err := f.attemptAll(j)
	if err != nil {
		f.tell(j, err)
		return
	}
	f.deliver(j, a)
}

// countFree tells the entry that relayed a request how many slots are free here.
func (f *Forwarder) countFree(j *job) {
	if !j.relayed || f.d.Free == nil {
		return
	}
	if n, ok := f.d.Free(j.service.Name()); ok {
		j.w.Header().Set(headerFree, strconv.Itoa(n))
	}
}

// noAgent keeps net/http from adding a header of its own.
var noAgent = []string{""}

func (f *Forwarder) takeBody(j *job) *verdict.Error {
	until, _ := j.ctx.Deadline()
	b, err := readBody(j.w, j.r, f.bodyLimit(j.service), f.s.Slow, until)
	switch {
	case errors.Is(err, errBody):
		return bad(413, verdict.ReasonInput, "body is longer than the %d bytes that service %s accepts", f.bodyLimit(j.service), j.service.Name())
	case err != nil:
		// The body of a repeat may be cut although that of the first request was not.
		if keyed(j.r) {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonInput, 400, err)
		}
		return verdict.New(verdict.NotRun, verdict.ReasonInput, 400, err)
	}
	j.body = b
	return nil
}

// tell counts a verdict and sends it to the caller.
func (f *Forwarder) tell(j *job, err *verdict.Error) {
	j.counts.told(err.Verdict())
	f.refuse(j.w, err)
}

// refuse answers with an error and its verdict.
func (f *Forwarder) refuse(w http.ResponseWriter, err *verdict.Error) {
	h := w.Header()
	h[headerVerdict] = []string{err.Verdict().String()}
	h[headerReason] = []string{string(err.Reason())}
	h[headerVia] = []string{f.s.Name}
	if d := err.RetryAfter(); d > 0 {
		h[headerAfter] = []string{strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)}
	}
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	text := err.Error() + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(err.Status())
	_, _ = w.Write([]byte(text)) // A caller that has gone needs no answer.
}

// draw returns the next of a seeded sequence of random numbers (SplitMix64).
func (f *Forwarder) draw(serial uint64) uint64 {
	z := f.d.Seed + serial*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
