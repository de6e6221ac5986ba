// Package network is a stand-in for the links between availability zones,
// regions and clients. It wraps dialed connections on loopback, adds delay,
// jitter, loss, byte rate limits and switchable faults to both directions, and
// counts the bytes of each directed pair of regions.
package network
