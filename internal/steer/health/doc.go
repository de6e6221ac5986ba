// Package health judges targets by what they do with the requests of this entry.
package health
