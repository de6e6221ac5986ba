// Package credential decides whether an entry may act on what it knows of the
// callers' keys.
//
// An entry's copy of the configuration has a confirmed age: an upper bound of
// the time since a moment at which the copy held everything that the store had
// acknowledged. A configuration that removed a key was acknowledged after that
// moment if the copy still has the key. A request that is sent while the age is
// below the limit is therefore sent within the limit after the removal, however
// long the entry was disconnected, stalled or not running before.
package credential
