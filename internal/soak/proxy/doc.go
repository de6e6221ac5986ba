// Package proxy is a TCP proxy on loopback with switchable network faults.
package proxy
