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
	// maxHops is the most relays of a request: to the home of its key, to the
	// owner of the target, and one more while ownership moves.
	maxHops = 3
	runPath = "/run/"
)

// job is one request on its way through this entry.
type job struct {
	r        *http.Request
	w        http.ResponseWriter
	ctx      context.Context
	service  document.Service
	tenant   string
	key      string
	home     string
	path     string // path is the escaped path for the target.
	hops     int
	granted  bool // granted means that the home of the key lets it run.
	relayed  bool
	deadline time.Time
	header   http.Header // header holds what is passed on, without the headers set per attempt.
	body     *body
	counts   *counters
	avoid    []string
	tried    [4]string // tried is the first memory of avoid.
}

// read reports whether the request may be repeated although it may have run.
func (j *job) read() bool {
	return !j.service.Once() && (j.r.Method == http.MethodGet || j.r.Method == http.MethodHead)
}

func bad(status int, reason verdict.Reason, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, reason, status, fmt.Errorf("forward: "+format, args...))
}

// single returns the value of a header that must not stand more than once.
func single(h http.Header, name string) (string, *verdict.Error) {
	v := h[name]
	switch len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", bad(400, verdict.ReasonInput, "header %s stands %d times, accepted is once", name, len(v))
	}
}

// checkCaller checks a request of a caller.
func (f *Forwarder) checkCaller(r *http.Request) (*job, *verdict.Error) {
	for _, name := range internal {
		if _, ok := r.Header[name]; ok {
			return nil, bad(400, verdict.ReasonInput, "header %s is internal, accepted is a request without it", name)
		}
	}
	j, doc, err := f.checkCommon(r)
	if err != nil {
		return nil, err
	}
	if err := checkTenant(doc, r.Header, j); err != nil {
		return nil, err
	}
	j.home = f.homeOf(r)
	return j, f.checkTimes(j)
}

// checkCommon checks what holds for callers and peers.
func (f *Forwarder) checkCommon(r *http.Request) (*job, *document.Document, *verdict.Error) {
	if n := headerSize(r); n > f.s.Header {
		return nil, nil, bad(431, verdict.ReasonInput, "request header has %d bytes, accepted are %d", n, f.s.Header)
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, nil, bad(400, verdict.ReasonInput, "method %s is not forwarded", r.Method)
	}
	doc := f.d.Configuration.Document()
	if doc == nil {
		return nil, nil, bad(503, verdict.ReasonIsolated, "no configuration yet").WithRetryAfter(time.Second)
	}
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), runPath), "/")
	if !strings.HasPrefix(r.URL.EscapedPath(), runPath) || name == "" {
		return nil, nil, bad(404, verdict.ReasonInput, "path %q, accepted is /run/<service>/<path>", r.URL.Path)
	}
	service, found := doc.Service(name)
	if !found {
		return nil, nil, bad(404, verdict.ReasonInput, "service %q is not configured", name)
	}
	j := &job{r: r, service: service, path: "/" + path, counts: f.count(name)}
	if !ok {
		j.path = "/"
	}
	limit := f.bodyLimit(service)
	if r.ContentLength > limit {
		return nil, nil, bad(413, verdict.ReasonInput, "body has %d bytes, service %s accepts %d", r.ContentLength, name, limit)
	}
	var err *verdict.Error
	if j.tenant, err = single(r.Header, headerTenant); err != nil {
		return nil, nil, err
	}
	if j.key, err = checkKey(r.Header, service); err != nil {
		return nil, nil, err
	}
	return j, doc, nil
}

func (f *Forwarder) bodyLimit(s document.Service) int64 {
	if s.Body() > 0 {
		return s.Body()
	}
	return f.s.Body
}

func checkKey(h http.Header, s document.Service) (string, *verdict.Error) {
	key, err := single(h, headerKey)
	if err != nil {
		return "", err
	}
	if key == "" && s.Once() {
		return "", bad(400, verdict.ReasonInput, "service %s needs an Idempotency-Key: a ticket or 1 to %d visible ASCII characters", s.Name(), maxKey)
	}
	if len(key) > maxKey {
		return "", bad(400, verdict.ReasonInput, "Idempotency-Key has %d characters, accepted are 1 to %d", len(key), maxKey)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", bad(400, verdict.ReasonInput, "Idempotency-Key has a character outside visible ASCII at %d", i)
		}
	}
	return key, nil
}

// checkTenant compares keys in constant time, so that response times tell nothing about them.
func checkTenant(doc *document.Document, h http.Header, j *job) *verdict.Error {
	given, err := single(h, headerTenantKey)
	if err != nil {
		return err
	}
	if j.tenant == "" {
		return bad(401, verdict.ReasonTenant, "header Tenant is missing, accepted is the name of a configured tenant")
	}
	t, found := doc.Tenant(j.tenant)
	sum := sha256.Sum256([]byte(given))
	var hexed [2 * sha256.Size]byte
	hex.Encode(hexed[:], sum[:])
	equal := subtle.ConstantTimeCompare(hexed[:], []byte(strings.ToLower(t.Digest()))) == 1
	if !found {
		return bad(401, verdict.ReasonTenant, "tenant %q is not configured", j.tenant)
	}
	if t.Digest() != "" && !equal {
		return bad(403, verdict.ReasonTenant, "Tenant-Key is not that of tenant %q", j.tenant)
	}
	if !t.Allows(j.service.Name()) {
		return bad(403, verdict.ReasonTenant, "tenant %q may not use service %s", j.tenant, j.service.Name())
	}
	return nil
}

// checkTimes sets the deadline from the Timeout header or the service's default.
func (f *Forwarder) checkTimes(j *job) *verdict.Error {
	timeout := j.service.Timeout()
	if timeout == 0 {
		timeout = f.s.Timeout
	}
	text, err := single(j.r.Header, headerTimeout)
	if err != nil {
		return err
	}
	if text != "" {
		ceiling := max(j.service.Ceiling(), timeout)
		ms, perr := strconv.ParseInt(text, 10, 64)
		if perr != nil || ms < 1 || (!j.relayed && ms > ceiling.Milliseconds()) {
			// Not ReasonInput: a repeat of an order may carry what is left of its time.
			return bad(400, verdict.ReasonDeadline, "Timeout %q, service %s accepts 1 to %d ms", text, j.service.Name(), ceiling.Milliseconds())
		}
		timeout = min(time.Duration(ms)*time.Millisecond, ceiling)
	}
	j.deadline = f.d.Now().Add(timeout)
	return nil
}

func (f *Forwarder) homeOf(r *http.Request) string {
	if f.d.Home == nil {
		return f.s.Region
	}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		if home := f.d.Home(a.Addr().Unmap()); home != "" {
			return home
		}
	}
	return f.s.Region
}
