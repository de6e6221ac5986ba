// Package propagation measures how fast an accepted configuration reaches every
// entry, and the load that the entries put on the key-value store. It runs real
// entries on loopback with the network delays of the example deployment "letters"
// between zones and regions.
package propagation
