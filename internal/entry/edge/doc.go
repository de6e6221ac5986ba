// Package edge runs one entry on the users' platform: it follows the store,
// answers look-ups, and sends each caller's request directly to a target.
package edge
