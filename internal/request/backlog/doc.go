// Package backlog closes a listener without resetting the connections that are established but not accepted yet.
package backlog
