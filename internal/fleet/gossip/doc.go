// Package gossip exchanges membership, free slots, loans and the configuration between entries.
package gossip
