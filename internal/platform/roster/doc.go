// Package roster is the client of the platform's list of live and leaving VMs,
// which lags behind the VMs themselves.
package roster
