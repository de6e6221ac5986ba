// Package lookup selects the entries that a caller should connect to.
package lookup
