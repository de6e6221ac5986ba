// Package caller is a stand-in for the programs that send requests: it looks
// up entries, caches the answers, fetches order tickets, sends seeded traffic,
// tries other entries on failure and records what it was told.
package caller
