// Package claim records caller-chosen idempotency keys in the key-value
// service before they run, so that no two entries run the same key.
//
// Keys are spread over ranges. Each range has a head value with an epoch and a
// list of segments that hold the claimed keys. An entry takes a range over by
// raising the epoch in the head and in the newest segment with compare-and-swap;
// from then on every write of the previous keeper fails. Safety rests on these
// writes alone and on no clock: a key is dispatched only by the entry whose
// claim of it was stored.
package claim
