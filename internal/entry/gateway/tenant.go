package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"tamarackspool/internal/request/verdict"
)

// checkTicket returns the tenant and the service of a ticket request.
func (g *Gateway) checkTicket(r *http.Request) (tenant, service string, err *verdict.Error) {
	d := g.d.Entry.Document()
	service = r.URL.Query().Get("service")
	s, ok := d.Service(service)
	switch {
	case !ok:
		return "", "", bad(http.StatusNotFound, "service %q is not configured", service)
	case !s.Once():
		return "", "", bad(http.StatusBadRequest, "service %q takes no tickets", service)
	}
	tenant = r.Header.Get("Tenant")
	t, ok := d.Tenant(tenant)
	if !ok {
		return "", "", unknown(http.StatusUnauthorized, "tenant %q is not configured", tenant)
	}
	// Digests are compared in constant time, so that response times tell nothing about keys.
	given := sha256.Sum256([]byte(r.Header.Get("Tenant-Key")))
	equal := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(given[:])), []byte(strings.ToLower(t.Digest()))) == 1
	if t.Digest() != "" && !equal {
		return "", "", unknown(http.StatusForbidden, "Tenant-Key is not that of tenant %q", tenant)
	}
	if !t.Allows(service) {
		return "", "", unknown(http.StatusForbidden, "tenant %q may not use service %s", tenant, service)
	}
	return tenant, service, nil
}

func unknown(status int, format string, args ...any) *verdict.Error {
	e := bad(status, format, args...)
	return verdict.New(verdict.NotRun, verdict.ReasonTenant, status, e.Unwrap())
}
