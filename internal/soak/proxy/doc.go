// Package proxy passes loopback connections on and spoils them on demand.
package proxy
