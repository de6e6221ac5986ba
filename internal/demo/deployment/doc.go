// Package deployment runs a whole deployment in one process: stand-ins of the
// platform's services, entries, targets and callers. It simulates network delays
// and link limits between them, runs scripted events, and checks the promises
// against the records of targets and callers.
package deployment
