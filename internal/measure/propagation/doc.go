// Package propagation measures how fast an accepted configuration reaches every
// entry, and the load that the entries put on the key-value store. It runs real
// entries on loopback with the specified network delays between zones and regions.
package propagation
