// Package ticket encodes and verifies tickets. A ticket is an idempotency key that
// an entry has issued and signed; it names the only entry process that may execute
// the request.
package ticket
