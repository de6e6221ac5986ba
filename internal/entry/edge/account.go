package edge

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/steer/credential"
	"tamarackspool/internal/steer/refusal"
)

// keysTooOld is the reason of a refusal while a revoked key could still be taken for a valid one.
const keysTooOld = "the copy of the keys is too old"

// staleRetryAfter is the retry delay that a caller gets from an entry whose copy of the keys is too old. Another entry
// may serve it at once; this one needs about the time of a read from the store.
const staleRetryAfter = time.Second

// keyChecks holds what an entry keeps for judging keys; it is safe for concurrent use.
type keyChecks struct {
	bound                       credential.Bound
	stale                       atomic.Bool // stale is set while the last check found the copy of the keys too old.
	unauthorized, staleRefusals metrics.Counter
}

func (e *Edge) initKeyChecks() {
	e.keyChecks.bound = credential.NewBound(e.settings.RevokeBound)
	e.keyChecks.unauthorized = metrics.NewRegisteredCounter("request.unauthorized", e.meters.registry)
	e.keyChecks.staleRefusals = metrics.NewRegisteredCounter("request.keys-stale", e.meters.registry)
}

// keyState is how far the key of a request has been judged.
type keyState struct {
	taken   bool // taken is set when the request was judged under a configuration with accounts; its headers have no key since.
	key     string
	public  bool               // public is set when the rule needs no key.
	verdict credential.Verdict // verdict is the last one; it is meaningful after taken is set and while public is not.
	blocked bool               // blocked is set when an attempt was withheld because of the key, which ends the request.
	changed bool               // changed is set when an attempt was withheld because the version in force selects another account.
}

// takeChanged reports whether the attempt must be made anew under another account, once for each such attempt: the next
// one may be withheld for another reason.
func (s *keyState) takeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// judgingView returns the view that gives a request's rule and account, and how old it is.
func (e *Edge) judgingView(ctx context.Context) (*view, credential.Knowledge) {
	_ = e.viewOrWait(ctx)
	k := e.knowledge()
	return e.view.Load(), k
}

// knowledge returns how old the copy of the configuration is. It must be called before the view is read, so that a view
// from before a pause is not judged by an age from after it.
func (e *Edge) knowledge() credential.Knowledge {
	if !e.keyChecks.bound.Strict() {
		return credential.Knowledge{}
	}
	at := e.deps.Uptime()
	return credential.Knowledge{Age: e.follower.ConfirmedAge(), At: at}
}

// authorize selects the account of a request by its key and removes the key from its headers. It returns the answer that
// ends the request, or nil when it may go on.
func (e *Edge) authorize(q *requestState, k credential.Knowledge, b *book.Book, rule *book.Rule) *inbound.Answer {
	if !b.HasAccounts() {
		return nil
	}
	e.judge(q, k, b, rule)
	if q.keys.public || q.keys.verdict == credential.Valid {
		return nil
	}
	return e.rejectKey(q, rule)
}

// judge judges a request by its key under a configuration with accounts.
func (e *Edge) judge(q *requestState, k credential.Knowledge, b *book.Book, rule *book.Rule) {
	if !q.keys.taken {
		q.keys.taken = true
		// A key that is missing or unusable is empty, which selects no account.
		if key, ok := e.deps.Headers.TakeCredential(q.Header); ok {
			q.keys.key = key
		}
	}
	q.keys.public, q.account = rule.Public(), nil
	if q.keys.public {
		return
	}
	account := b.Account(q.keys.key)
	q.keys.verdict = e.decide(k, account != nil)
	if q.keys.verdict == credential.Valid {
		q.account = account
	}
}

func (e *Edge) decide(k credential.Knowledge, known bool) credential.Verdict {
	v := e.keyChecks.bound.Decide(k, e.deps.Uptime(), known)
	if v == credential.Stale {
		e.noteKeyAge(false, k.Age)
	}
	return v
}

// admitKey reports whether an attempt may be sent as far as its key is concerned, just before its first byte. The key is
// looked up in the version in force, which may be newer than the one that gave the rule.
func (e *Edge) admitKey(q *requestState) bool {
	k := e.knowledge()
	b := e.view.Load().book
	if !b.HasAccounts() || q.keys.taken && q.keys.public {
		return true
	}
	if !q.keys.taken {
		// The request was read before the first configuration with accounts, and its headers still have the key.
		rule, ok := b.Find(q.Host, q.Path)
		if !ok {
			rule = q.rule
		}
		e.judge(q, k, b, rule)
		q.priority = priorityOf(q.rule, q.account)
		q.keys.changed = q.keys.public || q.keys.verdict == credential.Valid
		q.keys.blocked = !q.keys.changed
		return false
	}
	account := b.Account(q.keys.key)
	q.keys.verdict = e.decide(k, account != nil)
	if q.keys.verdict != credential.Valid {
		q.keys.blocked = true
		return false
	}
	if q.account == nil || q.account.Name() != account.Name() {
		q.account, q.priority = account, priorityOf(q.rule, account)
		q.keys.changed = true
		return false
	}
	return true
}

// rejectKey answers a request whose key selects no account, or about whose key too little is known. No attempt of it has
// been sent.
func (e *Edge) rejectKey(q *requestState, rule *book.Rule) *inbound.Answer {
	if q.keys.verdict == credential.Stale {
		e.keyChecks.staleRefusals.Inc(1)
		return e.refuse(q, keysTooOld, refusal.Around(staleRetryAfter))
	}
	e.keyChecks.unauthorized.Inc(1)
	e.events.Log(event.RequestUnauthorized, "id", q.id, "rule", rule.Name(), "version", configurationVersion(e.view.Load()), "after", time.Since(q.Arrived))
	e.meters.countOutcome(q, outcomeRefused)
	return inbound.EmptyAnswer(http.StatusUnauthorized)
}

// finishBlocked ends a request whose attempt was withheld because of its key. Once an attempt was sent, the answer
// follows from that attempt, because 401 says that the request has not run.
func (e *Edge) finishBlocked(q *requestState, sent int, giveUp func(reason string) *inbound.Answer) *inbound.Answer {
	if sent == 0 {
		return e.rejectKey(q, q.rule)
	}
	if q.keys.verdict == credential.Stale {
		return giveUp(keysTooOld)
	}
	return giveUp("the key was revoked")
}

// setAccountHeaders writes the account of a request into the headers for its target.
func (e *Edge) setAccountHeaders(q *requestState, h http.Header) {
	if q.account != nil {
		e.deps.Headers.SetAccount(h, q.account.Name())
	}
}

// allowsRegion reports whether the home regions of the request's rule and account contain the region.
func (q *requestState) allowsRegion(region string) bool {
	homes := q.rule.HomeRegions()
	if len(homes) > 0 && !slices.Contains(homes, region) {
		return false
	}
	return q.account == nil || len(q.account.HomeRegions()) == 0 || slices.Contains(q.account.HomeRegions(), region)
}

// priorityOf returns the rank of a request for load shedding: the account's, or the rule's if the account has none.
func priorityOf(rule *book.Rule, account *book.Account) int {
	if account != nil {
		if p, ok := account.Priority(); ok {
			return p
		}
	}
	return rule.Priority()
}

// keysStale reports whether requests that need a key are refused because the copy of the keys is too old.
func (e *Edge) keysStale() bool {
	k := e.knowledge()
	b := e.view.Load().book
	if b == nil || !b.HasAccounts() {
		return false
	}
	fresh := e.keyChecks.bound.Fresh(k, e.deps.Uptime())
	e.noteKeyAge(fresh, k.Age)
	return !fresh
}

// noteKeyAge logs that the copy of the keys has become too old, or is fresh again.
func (e *Edge) noteKeyAge(fresh bool, age time.Duration) {
	if e.keyChecks.stale.Swap(!fresh) == !fresh {
		return
	}
	n := event.KeysStale
	if fresh {
		n = event.KeysFresh
	}
	e.events.Log(n, "age", age, "bound", e.settings.RevokeBound, "version", configurationVersion(e.view.Load()))
}
