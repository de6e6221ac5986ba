// Package claim records caller-chosen idempotency keys in the key-value
// service before their requests are dispatched, so that no two entries dispatch
// a request with the same key.
//
// Keys are hashed into ranges. Each range has a head value with an epoch, which
// serves as a fencing token, and a list of segments that hold the claimed keys.
// An entry becomes the owner of a range by incrementing the epoch in the head and
// in the newest segment with compare-and-swap; from then on every write of the
// previous owner fails. Safety depends on these writes only and on no clock: a
// request is dispatched only by the entry whose claim of the key was stored.
package claim
