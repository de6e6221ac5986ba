// Package hedge decides when a second copy of a request, the hedge, may be sent while the first one is unanswered.
//
// The copy is sent at the 95th percentile of the rule's latencies at this entry, if the latency objective can still be
// reached from there. The copies of a service are at most a fixed part of its requests: each request adds that part of
// a token, each copy costs one token, an entry begins with none and holds two at most. Over any number of entries
// and any time, the copies are thus at most that part of the requests, and two for each entry more than that part
// of the requests of that time. None is sent while targets reject requests or let them time out.
package hedge
