// Package ticket encodes and checks order tickets: idempotency keys that name
// the only entry process that may run them.
package ticket
