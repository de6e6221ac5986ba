package forward

import (
	"errors"
	"maps"
	"strconv"
	"time"

	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
)

// answer is a target's response on its way to the caller.
type answer struct {
	t       *attempt
	body    []byte // body is the whole body, or its beginning when more is set.
	more    bool
	buf     *[whole]byte
	served  string
	reason  string // reason is that of a relayed answer, such as a repeat.
	via     string
	in      int64
	settled bool
	values  values
}

// attemptAll makes attempts until one brings an answer or no further one is allowed.
func (f *Forwarder) attemptAll(j *job) (*answer, *verdict.Error) {
	var last *verdict.Error
	ran := false // ran means that an earlier attempt of this read may have run.
	for n := 1; ; n++ {
		c, err := f.choose(j)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		var a *answer
		if a, err = f.attempt(j, c); err == nil {
			return a, nil
		}
		last = err
		ran = ran || err.Verdict() != verdict.NotRun
		if !f.again(j, err, n) {
			break
		}
		j.counts.retries.Inc(1)
	}
	if ran && last.Verdict() == verdict.NotRun {
		last = verdict.New(verdict.MayHaveRun, last.Reason(), 502, last)
	}
	return nil, last
}

// again reports whether another attempt is allowed after the n-th.
func (f *Forwarder) again(j *job, err *verdict.Error, n int) bool {
	return (err.Verdict() == verdict.NotRun || j.read()) &&
		n < f.s.Attempts && j.ctx.Err() == nil && j.body.replayable() &&
		(unsent(err) || j.counts.retryBudget.Take(f.uptime()))
}

// unsent reports whether an attempt failed before a byte left, so that the next one is no repeat.
func unsent(err *verdict.Error) bool {
	f, ok := errors.AsType[*pool.Failure](err)
	return ok && !f.Written()
}

func (f *Forwarder) choose(j *job) (Choice, *verdict.Error) {
	if j.ctx.Err() != nil || !f.d.Now().Before(j.deadline) {
		return nil, bad(504, verdict.ReasonDeadline, "deadline has passed before the request was sent")
	}
	c, err := f.d.Chooser.Choose(j.ctx, Request{
		Service: j.service.Name(), Home: j.home, Hops: j.hops, Avoid: j.avoid,
		Deadline: j.deadline, Relayed: j.relayed && j.granted || j.relayed && !j.service.Once(),
	}, f.draw(f.serial.Add(1)))
	if err == nil {
		return c, nil
	}
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		return nil, e
	}
	// Nothing was sent, whatever kept the chooser from choosing.
	return nil, verdict.New(verdict.NotRun, verdict.ReasonRoom, 503, err)
}

// attempt sends the request where the choice says; the choice is done when it fails.
func (f *Forwarder) attempt(j *job, c Choice) (*answer, *verdict.Error) {
	t, err := f.aim(j, c)
	j.avoid = append(j.avoid, t.name)
	if err != nil {
		c.Done(Result{Kind: Cancelled})
		return nil, err
	}
	a, err := t.run()
	if err != nil {
		t.done(t.kind)
		f.report(t, err)
		return nil, err
	}
	return a, nil
}

// aim turns a choice into an attempt that is ready to be sent.
func (f *Forwarder) aim(j *job, c Choice) (*attempt, *verdict.Error) {
	t := &attempt{f: f, j: j, c: c, start: time.Now(), id: f.prefix + strconv.FormatUint(f.serial.Add(1), 36)}
	if target, ok := c.Target(); ok {
		t.name, t.address, t.conns, t.pool = target.Name(), target.Address().String(), target.Conns(), f.d.Targets
		return t, nil
	}
	return t, f.aimEntry(t, c.Entry())
}

func (f *Forwarder) aimEntry(t *attempt, entry string) *verdict.Error {
	t.name = entry
	if t.j.hops >= maxHops {
		return bad(503, verdict.ReasonHops, "request has passed %d entries already", t.j.hops)
	}
	address, ok := f.d.Peers.Pass(entry)
	if !ok {
		return bad(503, verdict.ReasonConnect, "address of entry %q is not known", entry)
	}
	t.address, t.relay, t.pool = address.String(), true, f.d.Entries
	doc := f.d.Configuration.Document()
	if f.d.Links == nil || doc == nil {
		return nil
	}
	if e, ok := doc.Entry(entry); ok {
		if region := doc.RegionOf(e.Zone()); region != f.s.Region {
			t.pacer = f.d.Links.Link(region)
		}
	}
	return nil
}

// headers returns the header of one attempt.
func (t *attempt) headers() map[string][]string {
	j := t.j
	h := j.header
	if t.later {
		h = maps.Clone(h)
		for _, name := range internal {
			// An earlier attempt may have gone to an entry; its token is not for targets.
			delete(h, name)
		}
	}
	t.set(h, headerAttempt, t.id)
	t.set(h, headerTimeout, strconv.FormatInt(t.remaining().Milliseconds(), 10))
	t.set(h, headerTenant, j.tenant)
	if j.key != "" {
		t.set(h, headerKey, j.key)
	}
	if !t.relay {
		return h
	}
	t.set(h, headerPeerKey, t.f.s.Key)
	t.set(h, headerHop, strconv.Itoa(j.hops+1))
	t.set(h, headerHome, j.home)
	if t.granted {
		t.set(h, headerGranted, "1")
	}
	return h
}
