package forward

import (
	"net/http"
	"slices"
	"strings"
)

// The headers of the request path, in canonical form.
const (
	headerTenant     = "Tenant"
	headerTenantKey  = "Tenant-Key"
	headerKey        = "Idempotency-Key"
	headerTimeout    = "Timeout"
	headerVerdict    = "Verdict"
	headerReason     = "Reason"
	headerServedBy   = "Served-By"
	headerVia        = "Via"
	headerRetryAfter = "Retry-After"
	headerShed       = "Shed"
	headerAttempt    = "Attempt"
	headerHop        = "Hop"  // headerHop is the number of relays between entries so far.
	headerHome       = "Home" // headerHome is the caller's region.
	headerPeerKey    = "Peer-Key"
	// headerFree is the answering entry's number of free slots; it is sent between entries only.
	headerFree = "Free"
	// headerGranted is set when the owner of the idempotency key has allowed the
	// run, so that the receiver forwards the request without querying the key again.
	headerGranted = "Granted"
)

// internalHeaders are set by entries, which trust them, and are rejected in requests of callers.
var internalHeaders = []string{headerHop, headerHome, headerAttempt, headerServedBy, headerPeerKey, headerGranted}

// ownHeaders of a request are set anew for each attempt and are not copied.
var ownHeaders = []string{
	headerTenant, headerTenantKey, headerKey, headerTimeout, headerVerdict, headerReason,
	headerServedBy, headerVia, headerShed, headerAttempt, headerHop, headerHome, headerPeerKey, headerGranted, headerFree,
}

// hopByHop are the headers that apply to a single connection, and those of the
// body's framing, which this entry sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// dropFromRequest holds the headers of a request that are not copied.
var dropFromRequest = func() map[string]bool {
	m := make(map[string]bool)
	for _, h := range slices.Concat(ownHeaders, hopByHop) {
		m[h] = true
	}
	return m
}()

// dropFromAnswer holds the headers of a target's response that are not copied.
var dropFromAnswer = func() map[string]bool {
	m := make(map[string]bool)
	for _, h := range slices.Concat(hopByHop, []string{headerVerdict, headerReason, headerServedBy, headerVia, headerShed, headerFree, headerAttempt}) {
		m[h] = true
	}
	return m
}()

// copyHeader copies the end-to-end headers from src to dst, except those in without and
// those that the Connection header names.
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

// headerSize returns the size of the request line and the header in bytes.
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

// headerValues holds the values of the headers that an attempt or an answer sets, in one
// allocation instead of one per header.
type headerValues struct {
	kept [8]string // A relayed request sets the most headers: 8.
	n    int
}

func (v *headerValues) set(h http.Header, name, value string) {
	v.kept[v.n] = value
	h[name] = v.kept[v.n : v.n+1 : v.n+1]
	v.n++
}
