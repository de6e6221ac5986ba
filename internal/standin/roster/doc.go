// Package roster is a stand-in for the platform's VM list for tests and the demo.
// It lists the VMs with a configurable lag.
package roster
