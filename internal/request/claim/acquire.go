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
	// leaseFactor times the retention is the lease of a segment, and
	// ageDivisor bounds how long a segment takes keys: a key added last still
	// lives for more than the retention.
	leaseFactor = 2
	ageDivisor  = 10
	// attempts bounds the compare-and-swap loops against other entries.
	attempts = 8
)

// acquire takes the range over: it raises the epoch in the head, then in the
// newest segment, and then reads all claims. Both writes make those of the
// previous keeper fail, so the claims read afterwards are complete.
func (r *keyRange) acquire(ctx context.Context) error {
	h, err := r.raiseEpoch(ctx)
	if err != nil {
		return err
	}
	if err := r.fenceSegment(ctx, h); err != nil {
		return err
	}
	if err := r.load(ctx); err != nil {
		return err
	}
	r.head, r.owned = h, true
	return nil
}

func (r *keyRange) raiseEpoch(ctx context.Context) (head, error) {
	for range attempts {
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
	return head{}, fmt.Errorf("claim: range %d: the head kept changing in %d attempts", r.number, attempts)
}

// retryable reports whether a write may have taken effect or lost a race, so that reading again decides.
func retryable(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown)
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

// fenceSegment writes the new epoch into the newest segment, or creates it.
func (r *keyRange) fenceSegment(ctx context.Context, h head) error {
	for range attempts {
		s, revision, err := r.readSegment(ctx, h.segment)
		if err != nil {
			return err
		}
		if s.epoch > h.epoch {
			return errFenced
		}
		if s.epoch == h.epoch && s.owner == h.owner && revision != 0 {
			r.current, r.revision = s, revision
			// The value may stem from a write whose answer was lost; its lease
			// is unknown here, so the next append attaches a new one.
			return r.renewLease(ctx)
		}
		if err := r.renewLease(ctx); err != nil {
			return err
		}
		s.epoch, s.owner, s.batch = h.epoch, h.owner, 0
		if revision == 0 {
			s.created = time.Now()
		}
		next, err := r.put(ctx, r.segmentKey(h.segment), s.encode(), revision, r.lease)
		if err == nil {
			r.current, r.revision = s, next
			return nil
		}
		if !retryable(err) {
			return err
		}
	}
	return fmt.Errorf("claim: range %d: segment %d kept changing in %d attempts", r.number, h.segment, attempts)
}

func (r *keyRange) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
	defer cancel()
	lease, err := r.store.Grant(ctx, leaseFactor*r.settings.Retention)
	if err != nil {
		return err
	}
	r.writes.Add(1)
	r.lease = lease
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

// load marks each stored key that this process has not claimed itself as spent.
func (r *keyRange) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Timeout)
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
		r.loaded[n] = s
		r.spend(s.keys)
	}
	return nil
}

func (r *keyRange) spend(keys []hash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range keys {
		if _, known := r.fates[h]; !known {
			r.fates[h] = claimed{fate: spent}
		}
	}
}

// append adds keys to the current segment and opens the next one when it is full or old.
func (r *keyRange) append(ctx context.Context, keys []hash) error {
	full := len(r.current.keys)+len(keys) > SegmentKeys
	old := time.Since(r.current.created) > r.settings.Retention/ageDivisor
	if full || old {
		if err := r.roll(ctx); err != nil {
			return err
		}
	}
	next := r.current
	next.batch++
	next.keys = append(append(make([]hash, 0, len(r.current.keys)+len(keys)), r.current.keys...), keys...)
	return r.replace(ctx, next)
}

// replace writes the current segment by compare-and-swap and finds out what
// became of a write whose answer was lost.
func (r *keyRange) replace(ctx context.Context, next segment) error {
	for range attempts {
		revision, err := r.put(ctx, r.segmentKey(r.head.segment), next.encode(), r.revision, r.lease)
		if err == nil {
			r.adopt(next, revision)
			return nil
		}
		if !retryable(err) {
			// An earlier attempt of this loop may still take effect.
			return r.disown(err)
		}
		stored, revision, err := r.readSegment(ctx, r.head.segment)
		if err != nil {
			return r.disown(err)
		}
		if stored.epoch != r.head.epoch || stored.owner != r.settings.Owner || revision == 0 {
			return errFenced
		}
		if stored.batch == next.batch {
			r.adopt(next, revision)
			return nil
		}
	}
	return r.disown(fmt.Errorf("claim: range %d: the outcome of a write stays unknown after %d attempts", r.number, attempts))
}

// disown gives the range up after a write whose outcome is unknown: taking it
// over again reads what the segment really holds.
func (r *keyRange) disown(err error) error {
	r.owned = false
	return err
}

func (r *keyRange) adopt(s segment, revision uint64) {
	r.current, r.revision = s, revision
	r.loaded[r.head.segment] = s
}

// roll opens the next segment. The head is raised first, so that an entry that
// takes the range over finds the segment that this one is about to create; the
// head is read again at the end, because a write that was delayed until after
// such a take-over must not count.
func (r *keyRange) roll(ctx context.Context) error {
	h, revision, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if h != r.head {
		return errFenced
	}
	h.segment++
	if _, err := r.put(ctx, r.headKey(), h.encode(), revision, 0); err != nil {
		return r.disown(err)
	}
	r.head = h
	if err := r.renewLease(ctx); err != nil {
		return r.disown(err)
	}
	s := segment{epoch: h.epoch, owner: h.owner, created: time.Now()}
	next, err := r.put(ctx, r.segmentKey(h.segment), s.encode(), 0, r.lease)
	if err != nil {
		return r.disown(err)
	}
	r.adopt(s, next)
	latest, _, err := r.readHead(ctx)
	if err != nil {
		return r.disown(err)
	}
	if latest != h {
		return errFenced
	}
	return nil
}
