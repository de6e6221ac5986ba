// Package forward carries requests from callers and from other entries to
// targets. It gives every request a verdict that rests on proof, retries only
// what has not run or is a read, and never passes on a truncated response as
// a complete one.
package forward
