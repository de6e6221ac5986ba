// Package census lists the running entries and answers callers' look-ups.
package census
