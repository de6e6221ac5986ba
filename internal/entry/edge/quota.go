package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/inbound"
	"tamarackspool/internal/site/book"
	"tamarackspool/internal/steer/quota"
	"tamarackspool/internal/steer/refusal"
)

// methodQuota requests tokens from the owner of an account.
const methodQuota = "quota"

// The messages between a holder of tokens and an owner of an account. Fields that are 0 are not sent.
type (
	quotaRequest struct {
		Account string `json:"account"`
		Want    int    `json:"want"`
		Waiting int    `json:"waiting,omitempty"` // Waiting is the number of requests that wait for the answer.
	}
	quotaAnswer struct {
		Granted  int   `json:"granted,omitempty"`
		Lifetime int64 `json:"lifetime,omitempty"` // Lifetime is in milliseconds from the request on.
		Wait     int64 `json:"wait,omitempty"`     // Wait is the time in milliseconds until a refused request will find a token.
		Owner    bool  `json:"owner,omitempty"`    // Owner is false when the entry does not own the account.
	}
)

const (
	// regionCallTimeout and remoteCallTimeout bound a call to an owner in this region and in another one: twice a round trip with
	// the opening of a connection, and time for a busy processor.
	regionCallTimeout = 150 * time.Millisecond
	remoteCallTimeout = 300 * time.Millisecond
	// silentTime is how long an owner that did not answer is not asked again.
	silentTime = 500 * time.Millisecond
	// maxTokenWait bounds how long a request waits for tokens.
	maxTokenWait = time.Second
	// sendGrace is how long after its expiry a token still pays for a request that took it before: targets may be in another region,
	// and a refused connection leads to another attempt. Package quota keeps more than that free of the tolerated excess.
	sendGrace = 250 * time.Millisecond
	// unreachableRetryAfter is the middle of the retry delay of a request for whose account no owner can be reached: an owner that is
	// silent is asked again after half a second.
	unreachableRetryAfter = 650 * time.Millisecond
	// holderIdleTime is how long the state of an account without requests is kept.
	holderIdleTime = time.Minute
	// sweepTicks is the number of watchdog ticks between two sweeps over the accounts.
	sweepTicks = 4
)

// quotas holds an entry's part in the quotas of all accounts, as an owner and as a holder. It is safe for concurrent use.
type quotas struct {
	tolerance quota.Tolerance
	links     *peerLinks

	mu      sync.Mutex
	tenure  quota.Tenure
	gap     knowledgeGap
	resumed time.Duration            // resumed is the uptime at which the tenure of an earlier process was found to go on; 0 after the entry has registered.
	owned   map[string]*quota.Owner  // owned is keyed by the account's name.
	holders map[string]*holder       // holders is keyed by the account's name.
	silent  map[string]time.Duration // silent is until when an entry is not asked, by its name.
	ticks   int
	logged  int // logged is the number of owned accounts in the last log line.

	calls, failedCalls, granted, refusedCalls   metrics.Counter
	exceeded, unreachable, waited, returnedLate metrics.Counter
}

// holder is the entry's part in the quota of one account whose callers it serves.
type holder struct {
	*quota.Holder
	waiting int           // waiting is the number of requests that wait for a token.
	asking  bool          // asking is set while owners are asked.
	changed chan struct{} // changed is closed, and replaced, when an owner has answered.
	used    time.Duration
}

// quotaToken is the token of a request.
type quotaToken struct {
	account string // account is empty while the request has none.
	expires time.Duration
	spent   bool // spent is set when the request was sent with it.
	missing bool // missing is set when an attempt was withheld for lack of a token.
}

// tokenExpired is the reason of a refusal when the token of a request has expired before it was sent.
const tokenExpired = "its quota token expired before it was sent"

func (e *Edge) initQuotas() {
	r := e.meters.registry
	s := &quotas{
		tolerance: e.settings.QuotaTolerance, links: newPeerLinks(e.dialPeer),
		owned: make(map[string]*quota.Owner), holders: make(map[string]*holder), silent: make(map[string]time.Duration),
		calls: metrics.NewRegisteredCounter("quota.calls", r), failedCalls: metrics.NewRegisteredCounter("quota.calls-failed", r),
		granted: metrics.NewRegisteredCounter("quota.granted", r), refusedCalls: metrics.NewRegisteredCounter("quota.granted-none", r),
		exceeded: metrics.NewRegisteredCounter("quota.exceeded", r), unreachable: metrics.NewRegisteredCounter("quota.unreachable", r),
		waited: metrics.NewRegisteredCounter("quota.waited", r), returnedLate: metrics.NewRegisteredCounter("quota.expired", r),
	}
	e.quotas = s
	e.meters.registerGauge("quota.owned", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(len(s.owned))
	})
	e.meters.registerGauge("quota.connections", s.links.count)
}

// limitOf returns the quota of an account.
func limitOf(a *book.Account) quota.Limit {
	if a == nil {
		return quota.Limit{}
	}
	return quota.Limit{Rate: a.Rate(), Burst: a.Burst()}
}

// accountLimit returns the quota of the account with the name in the version in force.
func (v *view) accountLimit(name string) quota.Limit {
	if v.book == nil {
		return quota.Limit{}
	}
	return limitOf(v.book.AccountNamed(name))
}

// takeToken takes a token of the request's account and waits for one if there is none. When it returns false the request
// ends with the answer, which is nil when the caller has disconnected.
func (e *Edge) takeToken(ctx context.Context, q *requestState) (*inbound.Answer, bool) {
	limit := limitOf(q.account)
	if !limit.Limited() {
		return nil, true
	}
	s := e.quotas
	ctx, cancel := context.WithTimeout(ctx, min(maxTokenWait, time.Until(q.deadline)))
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holder(q.account.Name(), e.deps.Uptime())
	h.RecordRequest(h.used)
	for waited := false; ; waited = true {
		now := e.deps.Uptime()
		if expires, ok := h.Spend(now); ok {
			q.token = quotaToken{account: q.account.Name(), expires: expires}
			e.askOwners(q.account.Name(), h, now)
			if waited {
				s.waited.Inc(1)
			}
			return nil, true
		}
		h.waiting++
		e.askOwners(q.account.Name(), h, now)
		if !h.asking || ctx.Err() != nil {
			h.waiting--
			return e.refuseQuota(ctx, q, h, limit, now), false
		}
		changed := h.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		h.waiting--
	}
}

func (s *quotas) holder(account string, now time.Duration) *holder {
	h := s.holders[account]
	if h == nil {
		h = &holder{Holder: quota.NewHolder(), changed: make(chan struct{})}
		s.holders[account] = h
	}
	h.used = now
	return h
}

// refuseQuota answers a request without a token; quotas.mu is held.
func (e *Edge) refuseQuota(ctx context.Context, q *requestState, h *holder, limit quota.Limit, now time.Duration) *inbound.Answer {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.events.Log(event.CallerLeft, "id", q.id, "after", time.Since(q.Arrived))
		e.meters.countOutcome(q, outcomeCallerLeft)
		return nil
	}
	name, version := q.account.Name(), configurationVersion(e.view.Load())
	wait, known := h.Refuse(e.quotaOwners(name, now), limit.Rate, now)
	if !known {
		e.quotas.unreachable.Inc(1)
		after := refusal.Around(unreachableRetryAfter).At(rand.Float64())
		e.events.Log(event.QuotaUnreachable, "id", q.id, "account", name, "version", version, "waited", time.Since(q.Arrived), "after", after)
		return e.answerUnsent(q, http.StatusServiceUnavailable, after)
	}
	e.quotas.exceeded.Inc(1)
	e.events.Log(event.QuotaExceeded, "id", q.id, "account", name, "version", version, "waited", time.Since(q.Arrived), "after", wait)
	return e.answerUnsent(q, http.StatusTooManyRequests, wait)
}

func (e *Edge) answerUnsent(q *requestState, status int, after time.Duration) *inbound.Answer {
	e.meters.countOutcome(q, outcomeRefused)
	a := inbound.EmptyAnswer(status)
	a.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return a
}

// admitToken reports whether the request may be sent as far as its quota is concerned, just before its first byte: with a token of
// the account that it is sent for, which has not expired through a pause of the process. Later attempts need no other token.
func (e *Edge) admitToken(q *requestState) bool {
	if q.token.spent || !limitOf(q.account).Limited() {
		return true
	}
	s, now, name := e.quotas, e.deps.Uptime(), q.account.Name()
	if q.token.account == name && now <= q.token.expires+sendGrace {
		q.token.spent = true
		return true
	}
	e.returnToken(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	expires, ok := s.holder(name, now).Spend(now)
	q.token = quotaToken{account: name, expires: expires, spent: ok, missing: !ok}
	if !ok {
		s.returnedLate.Inc(1)
	}
	return ok
}

// returnToken returns the token of a request that ends without having been sent.
func (e *Edge) returnToken(q *requestState) {
	if q.token.account == "" || q.token.spent || q.token.missing {
		return
	}
	s := e.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holder(q.token.account, e.deps.Uptime())
	h.Add(1, q.token.expires)
	h.announce()
	q.token = quotaToken{}
}

// announce wakes the requests that wait for tokens.
func (h *holder) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// quotaOwners returns the owners of the account in the order in which this entry asks them.
func (e *Edge) quotaOwners(account string, now time.Duration) []quota.Member {
	return e.view.Load().roster.Owners(e.settings.Region, quota.Key(account), now)
}

// nextOwner returns the owner to ask and the number of tokens to ask for, or false when none is to be asked; quotas.mu is held.
func (e *Edge) nextOwner(account string, h *holder, now time.Duration) (o quota.Member, want int, ok bool) {
	limit := e.view.Load().accountLimit(account)
	if !limit.Limited() {
		return quota.Member{}, 0, false
	}
	want = h.Want(h.waiting, e.quotas.tolerance.Lifetime(limit), now)
	if want == 0 {
		return quota.Member{}, 0, false
	}
	owners := e.quotaOwners(account, now)
	i := h.Next(owners, func(o quota.Member) bool { return now < e.quotas.silent[o.Name] }, now)
	if i < 0 {
		return quota.Member{}, 0, false
	}
	return owners[i], want, true
}

// askOwners begins to ask the owners of the account for tokens, if any are wanted and an owner may be asked; quotas.mu is held.
func (e *Edge) askOwners(account string, h *holder, now time.Duration) {
	if h.asking {
		return
	}
	o, want, ok := e.nextOwner(account, h, now)
	if !ok {
		return
	}
	h.asking = true
	go func() {
		e.quotas.mu.Lock()
		defer e.quotas.mu.Unlock()
		for ok {
			if e.askOwner(account, h, o, want) && h.waiting == 0 {
				break // What is wanted in advance is asked for once, so that calls do not go on without requests.
			}
			o, want, ok = e.nextOwner(account, h, e.deps.Uptime())
		}
		h.asking = false
		h.announce()
	}()
}

// askOwner asks one owner, adds the tokens that it grants, and reports whether these are all that were wanted; quotas.mu is held,
// but not during the call.
func (e *Edge) askOwner(account string, h *holder, o quota.Member, want int) bool {
	s := e.quotas
	request := quotaRequest{Account: account, Want: want, Waiting: h.waiting}
	s.mu.Unlock()
	began := e.deps.Uptime()
	answer, err := e.callOwner(o, request)
	s.mu.Lock()
	now := e.deps.Uptime()
	if err != nil || !answer.Owner {
		s.failedCalls.Inc(1)
		s.silent[o.Name] = now + silentTime
		return false
	}
	lifetime := min(time.Duration(answer.Lifetime)*time.Millisecond, s.tolerance.Window)
	h.RecordAnswer(o, want, answer.Granted, began+lifetime, time.Duration(answer.Wait)*time.Millisecond, now)
	h.announce()
	return answer.Granted == want
}

func (e *Edge) callOwner(o quota.Member, request quotaRequest) (quotaAnswer, error) {
	if o.Name == e.settings.Name {
		return e.grantTokens(request), nil
	}
	timeout := remoteCallTimeout
	if o.Region == e.settings.Region {
		timeout = regionCallTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e.quotas.calls.Inc(1)
	var answer quotaAnswer
	err := e.quotas.links.call(ctx, o.Address, methodQuota, request, &answer)
	return answer, err
}
