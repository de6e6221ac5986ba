// Package world runs soak tests. A soak runs real entries as processes on
// loopback against stand-ins for the platform, plays planned changes and faults
// from a seeded schedule, and checks the promises.
package world
