// Package node runs one entry: it connects the request path, the steering
// systems, the membership and the configuration, and manages their life cycle.
package node
