// Package caller is a stand-in for the programs that send requests. It looks up
// entries, caches the responses, fetches tickets (idempotency keys that entries
// issue for orders), sends seeded traffic, retries at other entries and records
// the responses.
package caller
