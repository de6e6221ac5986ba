// Package member holds what one entry knows about the other entries: their heartbeats, states and free slots.
package member
