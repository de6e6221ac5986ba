package notice

import "time"

// Incarnation is one start of a target.
type Incarnation struct {
	ID            string
	StartedMillis int64 // StartedMillis is the start time by the target's clock, in Unix milliseconds.
}

const (
	// maxKept is the largest number of notices that are kept of targets without a registration.
	maxKept = 4096
	// keptFor is how long a notice is kept of a target without a registration.
	keptFor = time.Hour
)

// Table keeps the notices of targets whose registration has ended: a target that lapsed while the store was away
// registers again, and one that is leaving keeps running for some time. It is not safe for concurrent use; the zero
// value is ready to use.
type Table struct {
	kept map[Incarnation]keptNotice
}

type keptNotice struct {
	notice *Notice
	at     time.Time
}

// Find returns the notice of an incarnation that registers, a new one unless one is kept.
func (t *Table) Find(i Incarnation) *Notice {
	if k, ok := t.kept[i]; ok {
		delete(t.kept, i)
		return k.notice
	}
	return new(Notice)
}

// Keep keeps the notice of an incarnation whose registration has ended. It drops the oldest notice beyond maxKept.
func (t *Table) Keep(i Incarnation, n *Notice, now time.Time) {
	t.expire(now)
	if !n.active(now) {
		return
	}
	if t.kept == nil {
		t.kept = make(map[Incarnation]keptNotice)
	}
	t.kept[i] = keptNotice{n, now}
	if len(t.kept) > maxKept {
		t.dropOldest()
	}
}

func (t *Table) expire(now time.Time) {
	for i, k := range t.kept {
		if now.Sub(k.at) >= keptFor || !k.notice.active(now) {
			delete(t.kept, i)
		}
	}
}

func (t *Table) dropOldest() {
	var oldest Incarnation
	var at time.Time
	for i, k := range t.kept {
		if at.IsZero() || k.at.Before(at) {
			oldest, at = i, k.at
		}
	}
	delete(t.kept, oldest)
}

// Len returns the number of notices of targets without a registration.
func (t *Table) Len() int { return len(t.kept) }
