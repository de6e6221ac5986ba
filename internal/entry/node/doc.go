// Package node runs one entry: it connects the request path, the steering
// systems (which decide the targets and rates of requests), the membership and
// the configuration, and manages their life cycle.
package node
