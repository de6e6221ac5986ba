// Package owner decides which entry uses which target.
package owner
