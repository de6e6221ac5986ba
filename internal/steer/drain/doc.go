// Package drain decides which targets are drained.
package drain
