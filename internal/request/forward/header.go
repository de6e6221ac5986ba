package forward

import (
	"net/http"
	"slices"
	"strings"
)

// The headers of the request path, in canonical form.
const (
	headerTenant    = "Tenant"
	headerTenantKey = "Tenant-Key"
	headerKey       = "Idempotency-Key"
	headerTimeout   = "Timeout"
	headerVerdict   = "Verdict"
	headerReason    = "Reason"
	headerServed    = "Served-By"
	headerVia       = "Via"
	headerAfter     = "Retry-After"
	headerShed      = "Shed"
	headerAttempt   = "Attempt"
	headerHop       = "Hop"
	headerHome      = "Home"
	headerPeerKey   = "Peer-Key"
	// headerFree is the answering entry's count of free slots; it stays between entries.
	headerFree = "Free"
	// headerGranted says that the home of the idempotency key has granted the
	// run, so that the receiver forwards it and does not ask for the key again.
	headerGranted = "Granted"
)

// internal headers carry trust between entries and are refused from callers.
var internal = []string{headerHop, headerHome, headerAttempt, headerServed, headerPeerKey, headerGranted}

// own headers of a request are set anew for each attempt.
var own = []string{
	headerTenant, headerTenantKey, headerKey, headerTimeout, headerVerdict, headerReason,
	headerServed, headerVia, headerShed, headerAttempt, headerHop, headerHome, headerPeerKey, headerGranted,
}

// hops are the headers that concern a single connection, and those of the
// body's framing, which this entry sets itself.
var hops = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// drop holds all headers that are not copied.
var drop = func() map[string]bool {
	m := make(map[string]bool)
	for _, h := range slices.Concat(own, hops) {
		m[h] = true
	}
	return m
}()

// answerDrop holds the headers of a target's response that are not copied.
var answerDrop = func() map[string]bool {
	m := make(map[string]bool)
	for _, h := range slices.Concat(hops, []string{headerVerdict, headerReason, headerServed, headerVia, headerShed, headerFree}) {
		m[h] = true
	}
	return m
}()

// copyHeader adds what concerns both ends to dst and leaves out what concerns one connection.
func copyHeader(dst, src http.Header, without map[string]bool) {
	var named []string
	for _, v := range src["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	for k, v := range src {
		if !without[k] && !slices.Contains(named, k) {
			dst[k] = v
		}
	}
}

// headerSize returns the bytes of a request's line and header.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// PeerHeader returns the header that proves to other entries that a request comes from an entry.
func PeerHeader(key string) http.Header { return http.Header{headerPeerKey: {key}} }

// values holds the values of headers that an attempt or an answer sets, in one
// piece of memory instead of one per header.
type values struct {
	kept [8]string // A relay sets the most headers.
	n    int
}

func (v *values) set(h http.Header, name, value string) {
	v.kept[v.n] = value
	h[name] = v.kept[v.n : v.n+1 : v.n+1]
	v.n++
}
