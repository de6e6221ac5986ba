// Package caller is a stand-in for the programs that send requests. It looks up
// entries, caches the responses, fetches order tickets, sends seeded traffic,
// retries at other entries and records the responses.
package caller
