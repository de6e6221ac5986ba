// Package forward forwards requests from callers and from other entries to
// targets. It gives every request a verdict that is based on proof, retries a
// request only when it has not run or is a read, and never passes on a
// truncated response as a complete one.
//
// A service can require that each of its requests runs at most once. Such a
// request carries an idempotency key, and one entry, the owner of the key,
// decides whether it may run.
package forward
