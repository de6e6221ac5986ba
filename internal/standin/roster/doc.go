// Package roster is a stand-in of the platform's VM list for tests and the demo:
// it shows the VMs as they were some time ago.
package roster
