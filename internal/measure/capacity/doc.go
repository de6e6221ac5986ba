// Package capacity measures how the cost of a node grows with the size of the fleet.
package capacity
