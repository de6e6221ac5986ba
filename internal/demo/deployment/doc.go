// Package deployment runs a whole deployment in one process: the platform's
// stand-ins, entries, targets and callers, with delays and link limits between
// them, scripted events, and a check of the promises from the targets' and the
// callers' records.
package deployment
