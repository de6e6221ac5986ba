// Package gateway serves the HTTP API for callers: service look-ups, tickets,
// forwarded requests and the health check.
package gateway
