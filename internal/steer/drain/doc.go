// Package drain decides which targets and entries are leaving.
package drain
