// Package lookup answers which entries a caller should use.
package lookup
