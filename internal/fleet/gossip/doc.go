// Package gossip exchanges membership, free slots and the configuration between entries.
package gossip
