package order

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"tamarackspool/internal/request/verdict"
)

// Retention is how long the outcome of a finished key is kept. It exceeds the
// longest life of a ticket, so that a ticket whose record was dropped has expired.
const Retention = Validity + 2*bucketSpan

// Settings bound the memory of a table.
type Settings struct {
	Keys  int // Keys is the most keys that are kept.
	Bytes int // Bytes is the most memory for recorded answers; older answers are reduced to their verdict.
}

type phase uint8

const (
	running phase = iota
	answered
	uncertain
)

type record struct {
	key      Key
	request  uint64
	phase    phase
	answer   *Answer
	done     chan struct{}
	finished time.Time
}

// Table holds the state of each key that this process has run and may be used by several goroutines.
type Table struct {
	settings Settings

	mu       sync.Mutex
	records  map[Key]*record
	finished *list.List // finished holds the *record values that no longer run, oldest first.
	answers  *list.List // answers holds the *record values with a recorded answer, oldest first.
	bytes    int
	closed   bool
	newest   time.Time // newest is the latest time at which a request began.
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: make(map[Key]*record), finished: list.New(), answers: list.New()}
}

// Run is the right to dispatch a key once; exactly one of Finish and Fail must be called.
type Run struct {
	table  *Table
	record *record
}

// Begin returns either the right to run the key or the recorded answer, and waits while another request runs the key.
// The request value identifies method and path: a key that is reused for another request is refused.
// Any error is a *verdict.Error.
func (t *Table) Begin(ctx context.Context, k Key, request uint64, now time.Time) (*Run, *Answer, error) {
	for {
		run, r, err := t.enter(k, request, now)
		if run != nil || err != nil {
			return run, nil, err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout,
				fmt.Errorf("order: an earlier request with this key is still running: %w", ctx.Err()))
		}
		if answer, known, err := t.outcome(r); known {
			return nil, answer, err
		}
	}
}

// enter returns the right to run a key that has no record, or the key's record.
func (t *Table) enter(k Key, request uint64, now time.Time) (*Run, *record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if r := t.records[k]; r != nil {
		if r.request != request {
			return nil, nil, reused()
		}
		return nil, r, nil
	}
	if t.closed {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonLeaving, http.StatusServiceUnavailable,
			errors.New("order: this entry is stopping"))
	}
	if len(t.records) >= t.settings.Keys {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonKeys, http.StatusServiceUnavailable,
			fmt.Errorf("order: %d keys are kept and the limit is %d", len(t.records), t.settings.Keys))
	}
	r := &record{key: k, request: request, done: make(chan struct{})}
	t.records[k] = r
	return &Run{t, r}, r, nil
}

func reused() error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusUnprocessableEntity,
		errors.New("order: the key was used before for another method or path; use a new key"))
}

// outcome returns what a repeat of a key receives; known is false when the key did not run and is free again.
func (t *Table) outcome(r *record) (answer *Answer, known bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.records[r.key] != r:
		return nil, false, nil
	case r.phase == uncertain:
		return nil, true, verdict.New(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusBadGateway,
			errors.New("order: an earlier request with this key may have run"))
	case r.answer == nil:
		return nil, true, verdict.New(verdict.Ran, verdict.ReasonRepeat, http.StatusConflict,
			errors.New("order: an earlier request with this key has run; its answer is no longer kept"))
	}
	return r.answer, true, nil
}

// Recall returns the recorded answer or verdict of a key, and ok as false for a key without a record.
func (t *Table) Recall(ctx context.Context, k Key, request uint64) (answer *Answer, ok bool, err error) {
	t.mu.Lock()
	r := t.records[k]
	t.mu.Unlock()
	if r == nil {
		return nil, false, nil
	}
	if r.request != request {
		return nil, true, reused()
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return nil, true, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout, ctx.Err())
	}
	return t.outcome(r)
}

// Finish records the complete answer of the target at the given time; of a nil answer only the verdict is kept.
func (r *Run) Finish(a *Answer, now time.Time) {
	if a == nil {
		r.Fail(verdict.Ran, now)
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	r.record.phase, r.record.answer = answered, a
	t.bytes += a.size()
	t.answers.PushBack(r.record)
	t.settle(r.record, now)
	for t.bytes > t.settings.Bytes && t.answers.Len() > 0 {
		t.forget(t.answers.Front())
	}
}

// Fail records that the run ended without a complete answer; after NotRun the key may run again.
func (r *Run) Fail(v verdict.Verdict, now time.Time) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch v {
	case verdict.NotRun:
		delete(t.records, r.record.key)
		close(r.record.done)
		return
	case verdict.Ran:
		r.record.phase = answered
	default:
		r.record.phase = uncertain
	}
	t.settle(r.record, now)
}

func (t *Table) settle(r *record, now time.Time) {
	r.finished = now
	t.finished.PushBack(r)
	close(r.done)
}

// forget drops the recorded answer in e and keeps its verdict.
func (t *Table) forget(e *list.Element) {
	r := t.answers.Remove(e).(*record)
	if r.answer != nil {
		t.bytes -= r.answer.size()
		r.answer = nil
	}
}

// latest returns the time up to which records have been dropped.
func (t *Table) latest() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

func (t *Table) expire(now time.Time) {
	if now.After(t.newest) {
		t.newest = now
	}
	if t.closed {
		return // The handover must hold every record above the floor that its caller has read.
	}
	for e := t.finished.Front(); e != nil; e = t.finished.Front() {
		r := e.Value.(*record)
		if now.Sub(r.finished) < Retention {
			return
		}
		t.finished.Remove(e)
		delete(t.records, r.key)
		// Answers are recorded in the order in which keys finish, so the one
		// that expires is the oldest recorded one.
		if f := t.answers.Front(); f != nil && f.Value.(*record) == r {
			t.forget(f)
		}
	}
}

// Len returns the number of keys that are kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
