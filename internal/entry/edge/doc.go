// Package edge runs one entry on the users' platform: it follows the store,
// answers lookups, and forwards each caller's request directly to a target.
package edge
