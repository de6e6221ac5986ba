// Package book holds a version of the operators' configuration as an entry
// applies it: the rules by host and prefix, the services and the callers' limits.
package book
