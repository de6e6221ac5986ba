// Package owner assigns each target to the one entry that sends requests to it.
package owner
