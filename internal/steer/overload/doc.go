// Package overload sets the admission limits of services by priority and their longest queueing time.
package overload
