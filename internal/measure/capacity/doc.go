// Package capacity measures how the cost of an entry (a node in the figures) grows with the size of the fleet.
package capacity
