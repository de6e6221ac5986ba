// Package member holds the membership table of one entry: the heartbeats, states and free slots of all entries.
package member
