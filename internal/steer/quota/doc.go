// Package quota implements distributed rate limiting: the limit of an account
// holds for the requests of all entries together.
//
// In each region one entry is the owner of an account. It keeps a token bucket
// with an equal share of the account's rate and burst. The entries that serve
// the account's callers are holders: they request tokens from the owners and
// spend one for each request that they send. A token expires a fixed time, its
// lifetime T, after the holder has requested it.
//
// The bound holds for every window W. All buckets together hold at most burst
// tokens and gain at most rate tokens a second, because at no time two entries
// own an account in the same region, and because no owner counts fewer regions
// than there are owners. A token that is spent in W was granted in W or in the
// T before it, so that
//
//	spent(W) <= rate * (W + T) + burst
//
// for any load and any number of entries. A new owner begins with an empty
// bucket. Tokens that are lost, or held by an entry that ends, are not granted
// again.
//
// Two owners of one region are excluded by Exclusion, the delay D. An entry
// stops owning when it has not known the store's contents of the last D, and
// counts another entry as owner until D after it has seen the end of that
// entry's registration. See docs/design/quotas.md.
package quota
