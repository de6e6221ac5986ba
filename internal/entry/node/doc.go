// Package node runs one entry: it connects the request path, the steering
// systems, the membership and the configuration, and owns their life cycle.
package node
