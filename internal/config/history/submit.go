package history

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/platform/store"
)

const (
	// attempts bounds how often a submission reads the head: one lost response and a few lost races or stale reads.
	attempts = 6
	// firstPause and longestPause bound the wait between attempts; the store responds in milliseconds.
	firstPause   = 20 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// window is the number of changes whose ids the head holds.
	window = 64
	// longestRecord bounds an encoded audit record in bytes: the head holds at most 96 of them in 1 MB.
	longestRecord = 8 << 10
)

// errAgain asks for another attempt after reading the head again.
var errAgain = errors.New("history: head has changed")

// submission is one run of Submit; sent means that a write of the head may have taken effect.
type submission struct {
	*History
	patch Patch
	sent  bool
	last  bool // no further attempt follows
}

// Submit applies the patch to the configuration in force. An error means that this call has changed nothing.
// A response lost after the write is resolved by reading the head again; if that fails too, the outcome is
// Unknown, and a call with the same id gives the outcome later. A patch that was applied with this id before
// gives the outcome of then.
func (h *History) Submit(ctx context.Context, p Patch) (Outcome, error) {
	if err := p.check(); err != nil {
		return Outcome{kind: Refused, reason: err.Error()}, nil
	}
	s := &submission{History: h, patch: p}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longestPause
	var err error
	for i := range attempts {
		if i > 0 && h.wait(ctx, pause.NextBackOff()) != nil {
			break
		}
		s.last = i == attempts-1
		var o Outcome
		o, err = s.attempt(ctx)
		if err == nil {
			if o.kind == Refused {
				h.recordRefusal(ctx, p, o)
			}
			return o, nil
		}
		if !s.sent && !errors.Is(err, errAgain) {
			return Outcome{}, err
		}
	}
	if s.sent {
		return Outcome{kind: Unknown, reason: fmt.Sprintf("the write was sent and the head could not be read again: %v", err)}, nil
	}
	return Outcome{}, fmt.Errorf("%w: the head kept changing over %d attempts: %w", store.ErrUnavailable, attempts, err)
}

// attempt reads the head once and tries to change it.
func (s *submission) attempt(ctx context.Context) (Outcome, error) {
	current, err := s.head(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if version, ok := current.find(s.patch.ID); ok {
		return Outcome{kind: Applied, version: version}, nil
	}
	switch {
	case current.version < s.patch.Base:
		return s.early(current)
	case current.version > s.patch.Base:
		return s.outdated(ctx, current)
	}
	return s.change(ctx, current)
}

// early handles a base above the head, which is a stale read or a mistake of the author.
func (s *submission) early(current head) (Outcome, error) {
	if s.sent || !s.last {
		return Outcome{}, fmt.Errorf("%w: version %d read, base %d", errAgain, current.version, s.patch.Base)
	}
	return Outcome{
		kind: Refused, version: current.version,
		reason: fmt.Sprintf("base %d is newer than version %d", s.patch.Base, current.version),
	}, nil
}

// outdated handles a base below the head: the patch has made version base+1, or it can never be applied.
func (s *submission) outdated(ctx context.Context, current head) (Outcome, error) {
	changes, err := s.audit(ctx, current, s.patch.Base+1)
	if err != nil {
		return Outcome{}, err
	}
	if len(changes) == 0 || changes[0].version != s.patch.Base+1 {
		return Outcome{
			kind: Unknown, version: current.version,
			reason: fmt.Sprintf("base %d is older than the audit trail", s.patch.Base),
		}, nil
	}
	if changes[0].id == s.patch.ID {
		return Outcome{kind: Applied, version: changes[0].version}, nil
	}
	return Outcome{
		kind: Refused, version: current.version, changes: changes,
		reason: fmt.Sprintf("base %d is outdated; version %d is in force", s.patch.Base, current.version),
	}, nil
}

// change makes the next version of the current head.
func (s *submission) change(ctx context.Context, current head) (Outcome, error) {
	refuse := func(err error) (Outcome, error) {
		return Outcome{kind: Refused, version: current.version, reason: err.Error()}, nil
	}
	r, err := s.read(ctx, current)
	if err != nil {
		return Outcome{}, err
	}
	patched, err := s.patch.apply(r.data)
	if err != nil {
		return refuse(err)
	}
	data, d, err := codec.Revise(patched, current.version+1)
	if err != nil {
		return refuse(err)
	}
	next := head{version: current.version + 1, hash: sha256.Sum256(data)}
	err = s.writeParts(ctx, &next, data, d, s.patch.Blocks, current.blocks)
	if input, ok := errors.AsType[inputError](err); ok {
		return refuse(input)
	}
	if err != nil {
		return Outcome{}, err
	}
	s.follow(&next, current)
	if err := s.spill(ctx, &next); err != nil {
		return Outcome{}, err
	}
	revision, err := s.commit(ctx, next, current.revision)
	if err != nil {
		return Outcome{}, err
	}
	s.trim(ctx, next)
	s.collect(ctx, current, next)
	return Outcome{
		kind: Applied, version: next.version,
		record: Record{next.version, next.hash, data, revision},
	}, nil
}

// follow carries the ids and audit records of the current head over and adds those of the patch.
func (s *submission) follow(next *head, current head) {
	record := Audit{
		version: next.version, id: s.patch.ID, who: s.patch.Who, why: s.patch.Why,
		at: s.now().UTC().Truncate(time.Millisecond), change: s.patch.Change,
	}
	if data, err := json.Marshal(record.wire()); err != nil || len(data) > longestRecord {
		record.change = nil
	}
	next.audit = append(append(next.audit, current.audit...), record)
	next.ids = append(append(next.ids, current.ids...), change{s.patch.ID, next.version, next.parts[0]})
	if extra := len(next.ids) - window; extra > 0 {
		next.ids = next.ids[extra:]
	}
}

// commit writes the head; afterwards the new version is in force.
func (s *submission) commit(ctx context.Context, next head, revision uint64) (uint64, error) {
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	written, err := s.store.Put(ctx, headKey, value, revision, 0)
	if errors.Is(err, store.ErrUnknown) {
		s.sent = true
	}
	if errors.Is(err, store.ErrConflict) {
		return 0, errAgain
	}
	if err != nil {
		return 0, fmt.Errorf("history: commit: %w", err)
	}
	s.History.note(next.version)
	return written, nil
}
