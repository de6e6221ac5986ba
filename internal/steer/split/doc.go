// Package split limits the relays to other entries of the region and to other regions.
package split
