// Package target is a stand-in for target VMs in tests and the demo. It
// implements the targets' protocol, records every run and has switchable faults.
package target
