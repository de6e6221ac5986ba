// Package propagation measures how fast an accepted configuration reaches every
// entry, and what the entries cost the key-value service, with real entries on
// loopback and the delays between zones and regions of the deployment letters.
package propagation
