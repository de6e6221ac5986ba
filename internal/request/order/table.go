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

// Retention is how long the outcome of a finished request is stored. It is longer than
// the maximum lifetime of a ticket, so that a ticket whose record was dropped has expired.
const Retention = TicketValidity + 2*bucketSpan

// Settings limit the memory of a table.
type Settings struct {
	MaxKeys        int // MaxKeys is the maximum number of keys.
	MaxAnswerBytes int // MaxAnswerBytes is the maximum total size of recorded answers; beyond it the oldest are reduced to their verdict.
}

type phase uint8

const (
	running phase = iota
	completed
	uncertain
)

type record struct {
	key        Key
	request    uint64
	phase      phase
	answer     *Answer
	done       chan struct{}
	finishedAt time.Time
}

// Table holds the state of each key whose request this process has dispatched; it is safe for concurrent use.
type Table struct {
	settings Settings

	mu              sync.Mutex
	records         map[Key]*record
	finishedRecords *list.List // finishedRecords holds the *record values that are no longer running, oldest first.
	answerRecords   *list.List // answerRecords holds the *record values with a recorded answer, oldest first.
	answerBytes     int
	closed          bool
	latestBegin     time.Time // latestBegin is the latest time that was passed to Begin.
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: make(map[Key]*record), finishedRecords: list.New(), answerRecords: list.New()}
}

// Run is the right to dispatch the request of a key once; the holder must call exactly one of Finish and Fail.
type Run struct {
	table  *Table
	record *record
}

// Begin returns either the right to dispatch the request or the recorded answer. It waits while an earlier
// request with the key is running. The request value is a hash of method and path; a key that was used for
// another request is refused. Any error is a *verdict.Error.
func (t *Table) Begin(ctx context.Context, k Key, request uint64, now time.Time) (*Run, *Answer, error) {
	for {
		run, r, err := t.recordOrRun(k, request, now)
		if run != nil || err != nil {
			return run, nil, err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout,
				fmt.Errorf("order: an earlier request with this key is still running: %w", ctx.Err()))
		}
		if answer, known, err := t.outcome(r); known {
			return nil, answer, err
		}
	}
}

// recordOrRun returns the record of the key, or creates one and returns the right to dispatch the request.
func (t *Table) recordOrRun(k Key, request uint64, now time.Time) (*Run, *record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpiredRecords(now)
	if r := t.records[k]; r != nil {
		if r.request != request {
			return nil, nil, keyReusedError()
		}
		return nil, r, nil
	}
	if t.closed {
		return nil, nil, verdict.NewError(verdict.NotRun, verdict.ReasonShuttingDown, http.StatusServiceUnavailable,
			errors.New("order: this entry is stopping"))
	}
	if len(t.records) >= t.settings.MaxKeys {
		return nil, nil, verdict.NewError(verdict.NotRun, verdict.ReasonKeyMemoryFull, http.StatusServiceUnavailable,
			fmt.Errorf("order: the table holds %d keys and the limit is %d", len(t.records), t.settings.MaxKeys))
	}
	r := &record{key: k, request: request, done: make(chan struct{})}
	t.records[k] = r
	return &Run{t, r}, r, nil
}

func keyReusedError() error {
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusUnprocessableEntity,
		errors.New("order: the key was already used with another method or path; use a new key"))
}

// outcome returns the recorded answer or verdict for a repeat; known is false if the request did not run and
// its record was dropped.
func (t *Table) outcome(r *record) (answer *Answer, known bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.records[r.key] != r:
		return nil, false, nil
	case r.phase == uncertain:
		return nil, true, verdict.NewError(verdict.MayHaveRun, verdict.ReasonRepeat, http.StatusBadGateway,
			errors.New("order: an earlier request with this key may have run"))
	case r.answer == nil:
		return nil, true, verdict.NewError(verdict.Ran, verdict.ReasonRepeat, http.StatusConflict,
			errors.New("order: an earlier request with this key has run; its response is no longer stored"))
	}
	return r.answer, true, nil
}

// Lookup returns the recorded answer or verdict of a key; ok is false for a key without a record.
func (t *Table) Lookup(ctx context.Context, k Key, request uint64) (answer *Answer, ok bool, err error) {
	t.mu.Lock()
	r := t.records[k]
	t.mu.Unlock()
	if r == nil {
		return nil, false, nil
	}
	if r.request != request {
		return nil, true, keyReusedError()
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return nil, true, verdict.NewError(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout, ctx.Err())
	}
	return t.outcome(r)
}

// Finish records the complete response of the target at the given time; for a nil answer only the verdict Ran is recorded.
func (r *Run) Finish(a *Answer, now time.Time) {
	if a == nil {
		r.Fail(verdict.Ran, now)
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	r.record.phase, r.record.answer = completed, a
	t.answerBytes += a.size()
	t.answerRecords.PushBack(r.record)
	t.markFinished(r.record, now)
	for t.answerBytes > t.settings.MaxAnswerBytes && t.answerRecords.Len() > 0 {
		t.dropAnswer(t.answerRecords.Front())
	}
}

// Fail records that the run ended without a complete response; after NotRun the request may be dispatched again.
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
		r.record.phase = completed
	default:
		r.record.phase = uncertain
	}
	t.markFinished(r.record, now)
}

func (t *Table) markFinished(r *record, now time.Time) {
	r.finishedAt = now
	t.finishedRecords.PushBack(r)
	close(r.done)
}

// dropAnswer drops the recorded answer in e and keeps its verdict.
func (t *Table) dropAnswer(e *list.Element) {
	r := t.answerRecords.Remove(e).(*record)
	if r.answer != nil {
		t.answerBytes -= r.answer.size()
		r.answer = nil
	}
}

// latestBeginTime returns the time that was used to decide which records have expired.
func (t *Table) latestBeginTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestBegin
}

func (t *Table) dropExpiredRecords(now time.Time) {
	if now.After(t.latestBegin) {
		t.latestBegin = now
	}
	if t.closed {
		return // Export must find every record of a ticket whose serial is at least its lowestSerial.
	}
	for e := t.finishedRecords.Front(); e != nil; e = t.finishedRecords.Front() {
		r := e.Value.(*record)
		if now.Sub(r.finishedAt) < Retention {
			return
		}
		t.finishedRecords.Remove(e)
		delete(t.records, r.key)
		// Both lists are in the order in which requests finish, so the answer
		// of the expired record is the first in the list.
		if f := t.answerRecords.Front(); f != nil && f.Value.(*record) == r {
			t.dropAnswer(f)
		}
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
