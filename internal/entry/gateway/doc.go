// Package gateway serves callers' HTTP: look-ups, order tickets, the requests
// themselves and the health check.
package gateway
