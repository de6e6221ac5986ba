// Package mirror keeps a copy of the platform's store in each entry, read from
// the store itself or, while the store does not answer, from other entries.
package mirror
