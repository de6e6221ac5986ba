// Package world runs real entries as processes on loopback against stand-ins
// of the platform, disturbs them by a seeded schedule and checks the promises.
package world
