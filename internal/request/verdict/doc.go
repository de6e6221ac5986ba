// Package verdict defines what is known about the execution of a request, so
// that every layer reports the same proof to the caller.
package verdict
