package forward

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/request/verdict"
)

const (
	maxKey = 128 // maxKey is the longest idempotency key in bytes.
	// maxHops is the largest number of relays of a request: to the owner of its key, to the
	// owner of the target, and one more while ownership changes.
	maxHops = 3
	runPath = "/run/"
)

// job is one request that this entry is forwarding.
type job struct {
	request    *http.Request
	writer     http.ResponseWriter
	ctx        context.Context
	service    document.Service
	tenant     string
	key        string
	homeRegion string
	path       string // path is the escaped path for the target.
	hops       int
	granted    bool // granted means that the owner of the key has allowed the run.
	relayed    bool
	deadline   time.Time
	header     http.Header // header holds the forwarded headers, without those that are set for each attempt.
	body       *body
	counters   *counters
	avoid      []string
	avoidArray [4]string // avoidArray is the initial storage of avoid.
}

// isRead reports whether the request may be retried even if it may have run.
func (j *job) isRead() bool {
	return !j.service.AtMostOnce() && (j.request.Method == http.MethodGet || j.request.Method == http.MethodHead)
}

func notRunError(status int, reason verdict.Reason, format string, args ...any) *verdict.Error {
	return verdict.NewError(verdict.NotRun, reason, status, fmt.Errorf("forward: "+format, args...))
}

// singleHeader returns the value of a header that must not occur more than once.
func singleHeader(h http.Header, name string) (string, *verdict.Error) {
	v := h[name]
	switch len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", notRunError(400, verdict.ReasonBadInput, "header %s occurs %d times, want at most once", name, len(v))
	}
}

// checkCaller checks a request of a caller.
func (f *Forwarder) checkCaller(r *http.Request) (*job, *verdict.Error) {
	for _, name := range internalHeaders {
		if _, ok := r.Header[name]; ok {
			return nil, notRunError(400, verdict.ReasonBadInput, "header %s is internal and must not be sent by callers", name)
		}
	}
	j, doc, err := f.checkCommon(r)
	if err != nil {
		return nil, err
	}
	if err := checkTenant(doc, r.Header, j); err != nil {
		return nil, err
	}
	j.homeRegion = f.homeRegion(r)
	return j, f.setDeadline(j)
}

// checkCommon makes the checks that apply to requests of callers and of peers.
func (f *Forwarder) checkCommon(r *http.Request) (*job, *document.Document, *verdict.Error) {
	if n := headerSize(r); n > f.settings.Header {
		return nil, nil, notRunError(431, verdict.ReasonBadInput, "request header has %d bytes, the limit is %d", n, f.settings.Header)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, nil, notRunError(400, verdict.ReasonBadInput, "method %s is not forwarded", r.Method)
	}
	doc := f.deps.Configuration.Document()
	if doc == nil {
		return nil, nil, notRunError(503, verdict.ReasonIsolated, "no configuration has been loaded yet").WithRetryAfter(time.Second)
	}
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), runPath), "/")
	if !strings.HasPrefix(r.URL.EscapedPath(), runPath) || name == "" {
		return nil, nil, notRunError(404, verdict.ReasonBadInput, "path is %q, want /run/<service>/<path>", r.URL.Path)
	}
	service, found := doc.Service(name)
	if !found {
		return nil, nil, notRunError(404, verdict.ReasonBadInput, "service %q is not configured", name)
	}
	j := &job{request: r, service: service, path: "/" + path, counters: f.countersOf(name)}
	if !ok {
		j.path = "/"
	}
	limit := f.bodyLimit(service)
	if r.ContentLength > limit {
		return nil, nil, notRunError(413, verdict.ReasonBadInput, "body has %d bytes, the limit of service %s is %d", r.ContentLength, name, limit)
	}
	var err *verdict.Error
	if j.tenant, err = singleHeader(r.Header, headerTenant); err != nil {
		return nil, nil, err
	}
	if j.key, err = checkKey(r.Header, service); err != nil {
		return nil, nil, err
	}
	return j, doc, nil
}

func (f *Forwarder) bodyLimit(s document.Service) int64 {
	if s.MaxBodyBytes() > 0 {
		return s.MaxBodyBytes()
	}
	return f.settings.Body
}

func checkKey(h http.Header, s document.Service) (string, *verdict.Error) {
	key, err := singleHeader(h, headerKey)
	if err != nil {
		return "", err
	}
	if key == "" && s.AtMostOnce() {
		return "", notRunError(400, verdict.ReasonBadInput, "service %s requires an Idempotency-Key: a ticket or 1 to %d visible ASCII characters", s.Name(), maxKey)
	}
	if len(key) > maxKey {
		return "", notRunError(400, verdict.ReasonBadInput, "Idempotency-Key has %d characters, want 1 to %d", len(key), maxKey)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", notRunError(400, verdict.ReasonBadInput, "Idempotency-Key has a character outside visible ASCII at offset %d", i)
		}
	}
	return key, nil
}

// checkTenant authenticates the tenant. It compares keys in constant time, so that response times reveal nothing about them.
func checkTenant(doc *document.Document, h http.Header, j *job) *verdict.Error {
	given, err := singleHeader(h, headerTenantKey)
	if err != nil {
		return err
	}
	if j.tenant == "" {
		return notRunError(401, verdict.ReasonTenant, "header Tenant is missing, want the name of a configured tenant")
	}
	t, found := doc.Tenant(j.tenant)
	sum := sha256.Sum256([]byte(given))
	var digestText [2 * sha256.Size]byte
	hex.Encode(digestText[:], sum[:])
	equal := subtle.ConstantTimeCompare(digestText[:], []byte(strings.ToLower(t.KeyDigest()))) == 1
	if !found {
		return notRunError(401, verdict.ReasonTenant, "tenant %q is not configured", j.tenant)
	}
	if t.KeyDigest() != "" && !equal {
		return notRunError(403, verdict.ReasonTenant, "Tenant-Key does not match tenant %q", j.tenant)
	}
	if !t.Allows(j.service.Name()) {
		return notRunError(403, verdict.ReasonTenant, "tenant %q may not use service %s", j.tenant, j.service.Name())
	}
	return nil
}

// setDeadline sets the deadline from the Timeout header or the service's default.
func (f *Forwarder) setDeadline(j *job) *verdict.Error {
	timeout := j.service.Timeout()
	if timeout == 0 {
		timeout = f.settings.Timeout
	}
	text, err := singleHeader(j.request.Header, headerTimeout)
	if err != nil {
		return err
	}
	if text != "" {
		ceiling := max(j.service.MaxTimeout(), timeout)
		ms, perr := strconv.ParseInt(text, 10, 64)
		if perr != nil || ms < 1 || (!j.relayed && ms > ceiling.Milliseconds()) {
			// The reason is not ReasonBadInput, because with that the verdict would stay NotRun:
			// a caller that retries may send the remaining time, and the first request may have run.
			return notRunError(400, verdict.ReasonDeadline, "Timeout is %q, service %s accepts 1 to %d ms", text, j.service.Name(), ceiling.Milliseconds())
		}
		timeout = min(time.Duration(ms)*time.Millisecond, ceiling)
	}
	j.deadline = f.deps.Now().Add(timeout)
	return nil
}

func (f *Forwarder) homeRegion(r *http.Request) string {
	if f.deps.HomeRegion == nil {
		return f.settings.Region
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		if home := f.deps.HomeRegion(a.Addr().Unmap()); home != "" {
			return home
		}
	}
	return f.settings.Region
}
