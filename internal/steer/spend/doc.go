// Package spend bounds how much work all entries together add by sending
// requests to a second target.
//
// The bound counts, over all entries and in any window W, the repeats that
// arrive at a service's targets against a ratio of the most requests that
// callers sent for it in W, in the window before W or in the one that begins
// half a window before W.
//
// Each repeat is paid for, when its first byte leaves, with 2/ratio requests
// that the same entry took, each of which pays once and no longer than a life
// of 0.6 windows. Let a request reach its entry, and a repeat its target,
// within 0.2 windows. Every repeat that arrives in W is then paid for with
// requests that were sent in W or in the window before it, so that
//
//	repeats(W) <= ratio/2 * (requests(W) + requests(the one before W)) <= ratio * the most of the two
//
// for any load and any number of entries: the sum runs over requests, none of
// which counts twice. An entry that starts has nothing, one that ends takes
// what it had with it, and nothing is divided by a number of entries that some
// may not know. An entry that stood still forgets what it held, and does not
// note what it reads in its wake. What the users' terms allow beyond the ratio
// is not spent: it covers requests and repeats that are on their way for longer.
package spend
