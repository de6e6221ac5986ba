package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"tamarackspool/internal/request/verdict"
)

// checkTicketRequest authenticates a ticket request and returns its tenant and service.
func (g *Gateway) checkTicketRequest(r *http.Request) (tenant, service string, err *verdict.Error) {
	d := g.deps.Entry.Document()
	service = r.URL.Query().Get("service")
	s, ok := d.Service(service)
	switch {
	case !ok:
		return "", "", inputError(http.StatusNotFound, "service %q is not configured", service)
	case !s.AtMostOnce():
		return "", "", inputError(http.StatusBadRequest, "service %q does not use tickets", service)
	}
	tenant = r.Header.Get("Tenant")
	t, ok := d.Tenant(tenant)
	if !ok {
		return "", "", tenantError(http.StatusUnauthorized, "tenant %q is not configured", tenant)
	}
	// Digests are compared in constant time, so that response times reveal nothing about keys.
	given := sha256.Sum256([]byte(r.Header.Get("Tenant-Key")))
	equal := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(given[:])), []byte(strings.ToLower(t.KeyDigest()))) == 1
	if t.KeyDigest() != "" && !equal {
		return "", "", tenantError(http.StatusForbidden, "Tenant-Key does not match tenant %q", tenant)
	}
	if !t.Allows(service) {
		return "", "", tenantError(http.StatusForbidden, "tenant %q may not use service %s", tenant, service)
	}
	return tenant, service, nil
}

func tenantError(status int, format string, args ...any) *verdict.Error {
	e := inputError(status, format, args...)
	return verdict.NewError(verdict.NotRun, verdict.ReasonTenant, status, e.Unwrap())
}
