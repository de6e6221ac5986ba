// Package block maps client addresses to their nearest availability zone by longest prefix match on CIDR blocks.
package block
