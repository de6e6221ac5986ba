// Package target is a stand-in for target VMs, for tests and the demo. It
// follows the targets' protocol, records every run, and has switchable faults.
package target
