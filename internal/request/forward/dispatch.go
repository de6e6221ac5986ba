package forward

import (
	"errors"
	"maps"
	"strconv"
	"time"

	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

// answer is a target's response that is passed to the caller.
type answer struct {
	attempt        *attempt
	body           []byte // body is the complete body, or its beginning when hasMore is set.
	hasMore        bool
	buf            *[maxBuffered]byte
	servedBy       string
	reason         string // reason is the Reason header of a relayed answer, such as that of a repeated request.
	via            string
	bytesIn        int64
	resultReported bool
	values         headerValues
}

// makeAttempts makes attempts until one is answered or no further one is allowed.
func (f *Forwarder) makeAttempts(j *job) (*answer, *verdict.Error) {
	var last *verdict.Error
	mayHaveRun := false // mayHaveRun means that an earlier attempt of this read may have run.
	for n := 1; ; n++ {
		c, err := f.choose(j)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		var a *answer
		if a, err = f.makeAttempt(j, c); err == nil {
			return a, nil
		}
		last = err
		mayHaveRun = mayHaveRun || err.Verdict() != verdict.NotRun
		if !f.mayRetry(j, err, n) {
			break
		}
		j.counters.retries.Inc(1)
	}
	if mayHaveRun && last.Verdict() == verdict.NotRun {
		last = verdict.NewError(verdict.MayHaveRun, last.Reason(), 502, last)
	}
	return nil, last
}

// mayRetry reports whether another attempt is allowed after the n-th.
func (f *Forwarder) mayRetry(j *job, err *verdict.Error, n int) bool {
	return (err.Verdict() == verdict.NotRun || j.isRead()) &&
		n < f.settings.Attempts && j.ctx.Err() == nil && j.body.replayable() &&
		(nothingSent(err) || j.counters.retryBudget.TakeRetry(f.uptime()))
}

// nothingSent reports whether an attempt failed before a byte was sent, so that the next one
// needs no retry budget.
func nothingSent(err *verdict.Error) bool {
	f, ok := errors.AsType[*pool.Failure](err)
	return ok && !f.Written()
}

func (f *Forwarder) choose(j *job) (Choice, *verdict.Error) {
	if j.ctx.Err() != nil || !f.deps.Now().Before(j.deadline) {
		return nil, notRunError(504, verdict.ReasonDeadline, "deadline has passed before the request was sent")
	}
	c, err := f.deps.Chooser.Choose(j.ctx, Request{
		Service: j.service.Name(), HomeRegion: j.homeRegion, Hops: j.hops, Avoid: j.avoid,
		Deadline: j.deadline, LocalOnly: j.relayed && j.granted || j.relayed && !j.service.AtMostOnce(),
	}, f.random(f.serial.Add(1)))
	if err == nil {
		return c, nil
	}
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		return nil, e
	}
	// Whatever the error of the chooser is, nothing was sent.
	return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, 503, err)
}

// makeAttempt sends the request to the chosen target or entry; when that fails, it calls Done on the choice.
func (f *Forwarder) makeAttempt(j *job, c Choice) (*answer, *verdict.Error) {
	t, err := f.newAttempt(j, c)
	j.avoid = append(j.avoid, t.name)
	if err != nil {
		c.Done(Result{Outcome: Cancelled})
		return nil, err
	}
	a, err := t.send()
	if err != nil {
		t.complete(t.outcome)
		f.logFailure(t, err)
		return nil, err
	}
	return a, nil
}

// newAttempt returns an attempt with the address and connection pool of the choice.
func (f *Forwarder) newAttempt(j *job, c Choice) (*attempt, *verdict.Error) {
	t := &attempt{forwarder: f, job: j, choice: c, start: time.Now(), id: f.attemptPrefix + strconv.FormatUint(f.serial.Add(1), 36)}
	if target, ok := c.Target(); ok {
		t.name, t.address, t.maxConns, t.pool = target.Name(), target.Address().String(), target.MaxConns(), f.deps.TargetPool
		return t, nil
	}
	return t, f.setRelayEntry(t, c.Entry())
}

func (f *Forwarder) setRelayEntry(t *attempt, entry string) *verdict.Error {
	t.name = entry
	if t.job.hops >= maxHops {
		return notRunError(503, verdict.ReasonTooManyHops, "request has already been relayed %d times", t.job.hops)
	}
	address, ok := f.deps.Peers.RelayAddress(entry)
	if !ok {
		return notRunError(503, verdict.ReasonConnect, "address of entry %q is unknown", entry)
	}
	t.address, t.relayed, t.pool = address.String(), true, f.deps.EntryPool
	doc := f.deps.Configuration.Document()
	if f.deps.Links == nil || doc == nil {
		return nil
	}
	if e, ok := doc.Entry(entry); ok {
		if region := doc.RegionOf(e.Zone()); region != f.settings.Region {
			t.pacer = f.deps.Links.Link(region)
		}
	}
	return nil
}

// headers returns the header of one attempt.
func (t *attempt) headers() map[string][]string {
	j := t.job
	h := j.header
	if t.headerShared {
		h = maps.Clone(h)
		for _, name := range internalHeaders {
			// An earlier attempt may have been relayed to an entry; the peer token must not reach targets.
			delete(h, name)
		}
	}
	t.set(h, headerAttempt, t.id)
	t.set(h, headerTimeout, strconv.FormatInt(t.remaining().Milliseconds(), 10))
	t.set(h, headerTenant, j.tenant)
	if j.key != "" {
		t.set(h, headerKey, j.key)
	}
	if !t.relayed {
		return h
	}
	t.set(h, headerPeerKey, t.forwarder.settings.Key)
	t.set(h, headerHop, strconv.Itoa(j.hops+1))
	t.set(h, headerHome, j.homeRegion)
	if t.granted {
		t.set(h, headerGranted, "1")
	}
	return h
}
