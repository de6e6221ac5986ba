// Package book holds one version of the operators' configuration as an entry
// applies it: the routing rules by host and path prefix, the services, the
// client accounts, and the limits for callers' requests.
package book
