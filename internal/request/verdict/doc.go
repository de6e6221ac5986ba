// Package verdict says whether a request has run, so that every layer reports
// the same proof to the caller.
package verdict
