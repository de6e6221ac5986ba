package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tamarackspool/internal/platform/store"
)

const (
	// The lease of a segment is segmentLeaseFactor times the retention. A segment
	// accepts keys for at most the retention divided by segmentAgeDivisor, so that
	// the key added last is still stored for longer than the retention.
	segmentLeaseFactor = 2
	segmentAgeDivisor  = 10
	// maxCASAttempts bounds each compare-and-swap loop when other entries write the same value.
	maxCASAttempts = 8
)

// acquire makes this process the owner of the range. It increments the epoch in
// the head, writes that epoch to the newest segment, and then reads all claims.
// After the two writes the previous owner's writes fail, so the claims read are complete.
func (r *keyRange) acquire(ctx context.Context) error {
	h, err := r.raiseEpoch(ctx)
	if err != nil {
		return err
	}
	if err := r.fenceSegment(ctx, h); err != nil {
		return err
	}
	if err := r.loadSegments(ctx); err != nil {
		return err
	}
	r.head, r.owned = h, true
	return nil
}

func (r *keyRange) raiseEpoch(ctx context.Context) (head, error) {
	for range maxCASAttempts {
		old, revision, err := r.readHead(ctx)
		if err != nil {
			return head{}, err
		}
		next := head{epoch: old.epoch + 1, owner: r.settings.Owner, segment: max(old.segment, 1)}
		_, err = r.put(ctx, r.headKey(), next.encode(), revision, 0)
		if err == nil {
			return next, nil
		}
		if !retryable(err) {
			return head{}, err
		}
	}
	return head{}, fmt.Errorf("claim: range %d: the head changed in each of %d compare-and-swap attempts", r.number, maxCASAttempts)
}

// retryable reports whether a failed write may have taken effect or lost a race.
// The caller reads the value again to find out which.
func retryable(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown)
}

func (r *keyRange) readHead(ctx context.Context) (head, uint64, error) {
	v, err := r.get(ctx, r.headKey())
	if errors.Is(err, store.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	h, err := decodeHead(v.Data())
	return h, v.Revision(), err
}

// fenceSegment writes the new epoch to the newest segment, which it creates if it does not exist.
func (r *keyRange) fenceSegment(ctx context.Context, h head) error {
	for range maxCASAttempts {
		s, revision, err := r.readSegment(ctx, h.segment)
		if err != nil {
			return err
		}
		if s.epoch > h.epoch {
			return errFenced
		}
		if s.epoch == h.epoch && s.owner == h.owner && revision != 0 {
			r.currentSegment, r.currentRevision = s, revision
			// The value may come from a write whose response was lost. The lease
			// of that write is unknown here, so the next write attaches a new one.
			return r.grantLease(ctx)
		}
		if err := r.grantLease(ctx); err != nil {
			return err
		}
		s.epoch, s.owner, s.batch = h.epoch, h.owner, 0
		if revision == 0 {
			s.created = time.Now()
		}
		next, err := r.put(ctx, r.segmentKey(h.segment), s.encode(), revision, r.currentLease)
		if err == nil {
			r.currentSegment, r.currentRevision = s, next
			return nil
		}
		if !retryable(err) {
			return err
		}
	}
	return fmt.Errorf("claim: range %d: segment %d changed in each of %d compare-and-swap attempts", r.number, h.segment, maxCASAttempts)
}

func (r *keyRange) grantLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	lease, err := r.store.Grant(ctx, segmentLeaseFactor*r.settings.Retention)
	if err != nil {
		return err
	}
	r.writes.Add(1)
	r.currentLease = lease
	return nil
}

// readSegment returns a segment with its revision, which is 0 when it does not exist.
func (r *keyRange) readSegment(ctx context.Context, n uint64) (segment, uint64, error) {
	v, err := r.get(ctx, r.segmentKey(n))
	if errors.Is(err, store.ErrNotFound) {
		return segment{}, 0, nil
	}
	if err != nil {
		return segment{}, 0, err
	}
	s, err := decodeSegment(v.Data())
	return s, v.Revision(), err
}

// loadSegments reads all segments and marks each key that this process did not claim itself as spent.
func (r *keyRange) loadSegments(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	values, err := r.store.List(ctx, r.prefix()+"segment/")
	if err != nil {
		return err
	}
	for _, v := range values {
		s, err := decodeSegment(v.Data())
		if err != nil {
			return fmt.Errorf("%s: %w", v.Key(), err)
		}
		n, err := strconv.ParseUint(v.Key()[strings.LastIndexByte(v.Key(), '/')+1:], 10, 64)
		if err != nil {
			return fmt.Errorf("claim: segment key %q: %w", v.Key(), err)
		}
		r.loadedSegments[n] = s
		r.markSpent(s.keys)
	}
	return nil
}

func (r *keyRange) markSpent(keys []hash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range keys {
		if _, known := r.keyRecords[h]; !known {
			r.keyRecords[h] = keyRecord{state: keySpent}
		}
	}
}

// appendKeys adds keys to the current segment, and opens the next segment first
// when the current one is full or too old.
func (r *keyRange) appendKeys(ctx context.Context, keys []hash) error {
	full := len(r.currentSegment.keys)+len(keys) > SegmentKeys
	old := time.Since(r.currentSegment.created) > r.settings.Retention/segmentAgeDivisor
	if full || old {
		if err := r.openNextSegment(ctx); err != nil {
			return err
		}
	}
	next := r.currentSegment
	next.batch++
	next.keys = append(append(make([]hash, 0, len(r.currentSegment.keys)+len(keys)), r.currentSegment.keys...), keys...)
	return r.writeCurrentSegment(ctx, next)
}

// writeCurrentSegment writes the current segment by compare-and-swap. After a lost
// response it reads the segment to find out whether the write took effect.
func (r *keyRange) writeCurrentSegment(ctx context.Context, next segment) error {
	for range maxCASAttempts {
		revision, err := r.put(ctx, r.segmentKey(r.head.segment), next.encode(), r.currentRevision, r.currentLease)
		if err == nil {
			r.setCurrentSegment(next, revision)
			return nil
		}
		if !retryable(err) {
			// The write of an earlier iteration may still take effect.
			return r.giveUpOwnership(err)
		}
		stored, revision, err := r.readSegment(ctx, r.head.segment)
		if err != nil {
			return r.giveUpOwnership(err)
		}
		if stored.epoch != r.head.epoch || stored.owner != r.settings.Owner || revision == 0 {
			return errFenced
		}
		if stored.batch == next.batch {
			r.setCurrentSegment(next, revision)
			return nil
		}
	}
	return r.giveUpOwnership(fmt.Errorf("claim: range %d: the outcome of a write is still unknown after %d attempts", r.number, maxCASAttempts))
}

// giveUpOwnership ends the ownership of the range after a write whose outcome is
// unknown. The next acquire reads the actual content of the segment.
func (r *keyRange) giveUpOwnership(err error) error {
	r.owned = false
	return err
}

func (r *keyRange) setCurrentSegment(s segment, revision uint64) {
	r.currentSegment, r.currentRevision = s, revision
	r.loadedSegments[r.head.segment] = s
}

// openNextSegment creates the next segment. It updates the head first, so that an
// entry that acquires the range finds the segment that is about to be created. It
// reads the head again at the end, because a segment write that was delayed until
// after another entry acquired the range must be discarded.
func (r *keyRange) openNextSegment(ctx context.Context) error {
	h, revision, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if h != r.head {
		return errFenced
	}
	h.segment++
	if _, err := r.put(ctx, r.headKey(), h.encode(), revision, 0); err != nil {
		return r.giveUpOwnership(err)
	}
	r.head = h
	if err := r.grantLease(ctx); err != nil {
		return r.giveUpOwnership(err)
	}
	s := segment{epoch: h.epoch, owner: h.owner, created: time.Now()}
	next, err := r.put(ctx, r.segmentKey(h.segment), s.encode(), 0, r.currentLease)
	if err != nil {
		return r.giveUpOwnership(err)
	}
	r.setCurrentSegment(s, next)
	latest, _, err := r.readHead(ctx)
	if err != nil {
		return r.giveUpOwnership(err)
	}
	if latest != h {
		return errFenced
	}
	return nil
}
