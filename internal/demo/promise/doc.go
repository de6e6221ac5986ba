// Package promise checks the promises of the system from the outside: it
// compares what callers were told with what targets recorded.
package promise
