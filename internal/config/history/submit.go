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
	// maxAttempts limits how often a submission reads the head. It allows for one lost response and a few lost
	// compare-and-swap races or stale reads.
	maxAttempts = 6
	// minPause and maxPause limit the backoff between attempts; the store responds within milliseconds.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// maxChanges is the number of most recent changes whose ids the head holds.
	maxChanges = 64
	// maxRecordBytes limits an encoded audit record, because the head holds up to 96 records in 1 MB.
	maxRecordBytes = 8 << 10
)

// errHeadChanged means that the submission must read the head again and retry.
var errHeadChanged = errors.New("history: head has changed")

// submission is the state of one call of Submit.
type submission struct {
	*History
	patch       Patch
	writeSent   bool // a write of the head may have taken effect
	lastAttempt bool // no attempt follows the current one
}

// Submit applies the patch to the committed configuration. An error means that this call has changed nothing.
// If the response to the write is lost, Submit reads the head again; if that fails too, the outcome is Unknown,
// and a later call with the same id returns the outcome. If a patch with this id was applied before, Submit
// returns the outcome of that patch.
func (h *History) Submit(ctx context.Context, p Patch) (Outcome, error) {
	if err := p.check(); err != nil {
		return Outcome{kind: Refused, reason: err.Error()}, nil
	}
	s := &submission{History: h, patch: p}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minPause, maxPause
	var err error
	for i := range maxAttempts {
		if i > 0 && h.wait(ctx, pause.NextBackOff()) != nil {
			break
		}
		s.lastAttempt = i == maxAttempts-1
		var o Outcome
		o, err = s.attempt(ctx)
		if err == nil {
			if o.kind == Refused {
				h.recordRefusal(ctx, p, o)
			}
			return o, nil
		}
		if !s.writeSent && !errors.Is(err, errHeadChanged) {
			return Outcome{}, err
		}
	}
	if s.writeSent {
		return Outcome{kind: Unknown, reason: fmt.Sprintf("the write was sent and its outcome could not be read: %v", err)}, nil
	}
	return Outcome{}, fmt.Errorf("%w: the head kept changing over %d attempts: %w", store.ErrUnavailable, maxAttempts, err)
}

// attempt reads the head once and tries to replace it.
func (s *submission) attempt(ctx context.Context) (Outcome, error) {
	current, err := s.readHead(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if version, ok := current.findChange(s.patch.ID); ok {
		return Outcome{kind: Applied, version: version}, nil
	}
	switch {
	case current.version < s.patch.Base:
		return s.handleNewerBase(current)
	case current.version > s.patch.Base:
		return s.handleOutdatedBase(ctx, current)
	}
	return s.applyPatch(ctx, current)
}

// handleNewerBase handles a base above the head, which is caused by a stale read or a mistake of the author.
func (s *submission) handleNewerBase(current head) (Outcome, error) {
	if s.writeSent || !s.lastAttempt {
		return Outcome{}, fmt.Errorf("%w: version %d read, base %d", errHeadChanged, current.version, s.patch.Base)
	}
	return Outcome{
		kind: Refused, version: current.version,
		reason: fmt.Sprintf("base %d is newer than version %d", s.patch.Base, current.version),
	}, nil
}

// handleOutdatedBase handles a base below the head: the patch has created version base+1, or it can never be applied.
func (s *submission) handleOutdatedBase(ctx context.Context, current head) (Outcome, error) {
	changes, err := s.readAudit(ctx, current, s.patch.Base+1)
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
		reason: fmt.Sprintf("base %d is outdated; version %d is committed", s.patch.Base, current.version),
	}, nil
}

// applyPatch creates the next version and commits it over the current head.
func (s *submission) applyPatch(ctx context.Context, current head) (Outcome, error) {
	refuse := func(err error) (Outcome, error) {
		return Outcome{kind: Refused, version: current.version, reason: err.Error()}, nil
	}
	r, err := s.readRecord(ctx, current)
	if err != nil {
		return Outcome{}, err
	}
	patched, err := s.patch.apply(r.data)
	if err != nil {
		return refuse(err)
	}
	data, d, err := codec.WithVersion(patched, current.version+1)
	if err != nil {
		return refuse(err)
	}
	next := head{version: current.version + 1, hash: sha256.Sum256(data)}
	err = s.writeParts(ctx, &next, data, d, s.patch.Blocks, current.blockParts)
	if input, ok := errors.AsType[inputError](err); ok {
		return refuse(input)
	}
	if err != nil {
		return Outcome{}, err
	}
	s.appendRecords(&next, current)
	if err := s.moveOldestPage(ctx, &next); err != nil {
		return Outcome{}, err
	}
	revision, err := s.commit(ctx, next, current.revision)
	if err != nil {
		return Outcome{}, err
	}
	s.deleteExpiredPages(ctx, next)
	s.deleteOldFirstPieces(ctx, current, next)
	return Outcome{
		kind: Applied, version: next.version,
		record: Record{next.version, next.hash, data, revision},
	}, nil
}

// appendRecords copies the ids and audit records of the current head to next and adds those of the patch.
func (s *submission) appendRecords(next *head, current head) {
	record := AuditRecord{
		version: next.version, id: s.patch.ID, author: s.patch.Author, reason: s.patch.Reason,
		appliedAt: s.now().UTC().Truncate(time.Millisecond), change: s.patch.Change,
	}
	if data, err := json.Marshal(record.wire()); err != nil || len(data) > maxRecordBytes {
		record.change = nil
	}
	next.records = append(append(next.records, current.records...), record)
	next.changes = append(append(next.changes, current.changes...), appliedChange{s.patch.ID, next.version, next.pieces[0]})
	if extra := len(next.changes) - maxChanges; extra > 0 {
		next.changes = next.changes[extra:]
	}
}

// commit writes the head by compare-and-swap, which commits the new version.
func (s *submission) commit(ctx context.Context, next head, revision uint64) (uint64, error) {
	value, err := next.encode()
	if err != nil {
		return 0, err
	}
	written, err := s.store.Put(ctx, headKey, value, revision, 0)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		s.writeSent = true
	}
	if errors.Is(err, store.ErrConflict) {
		return 0, errHeadChanged
	}
	if err != nil {
		return 0, fmt.Errorf("history: commit: %w", err)
	}
	s.History.raiseHighestVersion(next.version)
	return written, nil
}
