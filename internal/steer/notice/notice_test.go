package notice_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/steer/notice"
)

// announcement is one answer of an incarnation of a target.
type announcement struct {
	of      notice.Incarnation
	at      time.Time
	leaving bool
	pause   time.Duration
}

// Guards against requests that reach a target which has announced that it is leaving or wants none, whatever the store
// says: registrations end, lapse and return, addresses are used again, and targets restart under their id.
func TestNoticesKeepTheRulesAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table notice.Table
		now := time.Unix(1000, 0)
		var announced []announcement
		registered := make(map[string]notice.Incarnation)
		notices := make(map[string]*notice.Notice)
		register := func(id string, started int64) {
			i := notice.Incarnation{ID: id, StartedMillis: started}
			registered[id], notices[id] = i, table.Find(i)
		}
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			register(id, 1)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			i := registered[id]
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step == 0:
				notices[id].AnnounceLeaving()
				announced = append(announced, announcement{of: i, at: now, leaving: true})
			case step <= 2:
				d := time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause")) * time.Millisecond
				notices[id].Pause(d, now)
				announced = append(announced, announcement{of: i, at: now, pause: d})
			case step == 3: // The registration ends and returns, as around an outage of the store.
				table.Keep(i, notices[id], now)
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "absent")) * time.Millisecond)
				register(id, i.StartedMillis)
			case step == 4: // The target starts again under its id.
				table.Keep(i, notices[id], now)
				register(id, i.StartedMillis+1)
				if !notices[id].AcceptsRequests(now) {
					t.Fatalf("a new incarnation of %s does not start clean", id)
				}
			default:
				if !notices[id].AcceptsRequests(now) {
					continue
				}
				for _, a := range announced {
					if a.of == i && (a.leaving || now.Before(a.at.Add(a.pause))) {
						t.Fatalf("a request reaches %v, which announced %+v", i, a)
					}
				}
			}
		}
		for id, i := range registered {
			keeps := false
			for _, a := range announced {
				keeps = keeps || a.of == i && (a.leaving || now.Before(a.at.Add(a.pause)))
			}
			if notices[id].AcceptsRequests(now) == keeps {
				t.Fatalf("%v gets requests: %v, although its announcements say otherwise", i, !keeps)
			}
		}
	})
}

// Guards against a pause without an end, or one that a shorter one cuts.
func TestPausesEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	n := new(notice.Notice)
	if until, moved := n.Pause(1e9*time.Second, now); !moved || until != now.Add(notice.MaxPause) {
		t.Errorf("a huge pause ends at %v", until.Sub(now))
	}
	if _, moved := n.Pause(time.Second, now); moved {
		t.Error("a shorter pause moves the end")
	}
	end := now.Add(notice.MaxPause)
	if n.TakeEnd(end.Add(-1)) || n.AcceptsRequests(end.Add(-1)) || !n.AcceptsRequests(end) || !n.TakeEnd(end) || n.TakeEnd(end) {
		t.Error("the end of the pause is not taken once, when it comes")
	}
}

// Guards against hundreds of entries that send a target all that they held back in the moment in which its pause ends,
// and against objects that never return.
func TestObjectsReturnOneAfterAnother(t *testing.T) {
	const entries, objects = 300, 50
	now := time.Unix(1000, 0)
	for pause, span := range map[time.Duration]time.Duration{100 * time.Millisecond: 100 * time.Millisecond, 5 * time.Second: time.Second} {
		returned := func(after time.Duration) (n int) {
			for range entries {
				e := new(notice.Notice)
				e.Pause(pause, now)
				for k := range objects {
					if !e.AwaitsReturn((float64(k)+0.5)/objects, now.Add(pause+after)) {
						n++
					}
				}
			}
			return n
		}
		for part, want := range map[float64]float64{0.1: 0.1, 0.5: 0.5, 1: 1} {
			got := float64(returned(time.Duration(part*float64(span)))) / (entries * objects)
			if got < want-0.05 || got > want+0.05 {
				t.Errorf("pause %v: %.2f of the objects are back after %.1f of the span", pause, got, part)
			}
		}
	}
}

// Guards against a table that grows with every target that leaves, and keeps a notice for good.
func TestTableIsBounded(t *testing.T) {
	var table notice.Table
	now := time.Unix(1000, 0)
	incarnation := func(k int) notice.Incarnation { return notice.Incarnation{ID: fmt.Sprint("t", k)} }
	for k := range 5000 {
		n := new(notice.Notice)
		n.AnnounceLeaving()
		table.Keep(incarnation(k), n, now.Add(time.Duration(k)*time.Millisecond))
	}
	if got := table.Len(); got != 4096 {
		t.Errorf("%d notices are kept", got)
	}
	if table.Find(incarnation(0)).Leaving() || !table.Find(incarnation(4999)).Leaving() {
		t.Error("the oldest notices are not the ones that were dropped")
	}
	table.Keep(incarnation(1), new(notice.Notice), now.Add(2*time.Hour))
	if got := table.Len(); got != 0 {
		t.Errorf("%d notices are kept after two hours", got)
	}
}
