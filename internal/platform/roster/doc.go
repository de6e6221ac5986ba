// Package roster is a client for the platform's list of running and departing
// VMs, which lags behind the actual state of the VMs.
package roster
