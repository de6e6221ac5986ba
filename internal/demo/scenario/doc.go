// Package scenario runs scripted scenarios against a real deployment in the
// test process. Its verbs are testscript commands; docs/SCENARIOS.md describes
// them.
package scenario
