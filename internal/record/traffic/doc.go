// Package traffic counts the bytes of connections by what they are for.
package traffic
