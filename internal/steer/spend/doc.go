// Package spend implements the retry budget: it bounds the load that all
// entries together add by sending a request to a second target.
//
// The bound holds for every service and every window W. It compares the
// retries of all entries that arrive at the service's targets in W with the
// requests that callers sent in W, in the window before W and in the window
// that begins half a window before W. The retries may be at most a fixed ratio
// of the largest of these three counts.
//
// When the first byte of a retry is sent, the entry pays for it with 2/ratio
// requests that it received itself. Each request pays for one retry at most,
// and only within its time to live of 0.6 windows. Assume that a request
// reaches its entry, and a retry its target, within 0.2 windows. Every retry
// that arrives in W is then paid for with requests that were sent in W or in
// the window before it, so that
//
//	retries(W) <= ratio/2 * (requests(W) + requests(window before W)) <= ratio * max(of both counts)
//
// for any load and any number of entries, because the sum runs over requests
// and counts none twice. A new entry starts with an empty budget, the budget of
// an entry that ends is lost, and nothing is divided by a number of entries,
// which some entries may not know. An entry whose process was paused discards
// its budget and does not count the requests that it reads right after the
// pause. The limits agreed with the users also
// allow a number of retries beyond the ratio. This allowance is not spent: it
// covers requests and retries with a longer network delay.
package spend
