// Package scenario runs scripted scenarios against a real deployment in the
// test process. The verbs are commands of testscript; docs/SCENARIOS.md
// describes them.
package scenario
