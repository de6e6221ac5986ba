package history_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/config/history"
	"tamarackspool/internal/platform/store"
)

// noDeadline hides the Deadline method of a test, which must not be called in a synctest bubble.
type noDeadline struct{ rapid.TB }

// Guards against versions, outcomes and an audit trail that disagree after some sequence of submissions, repeated
// submissions, outdated bases and faults.
func TestAnyOrderOfFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "12", "rapid.steps": "15", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(r *rapid.T) {
			s, h := newHistory(t)
			created := map[string]uint64{} // the version that each patch created
			version, count := uint64(1), 0
			// submitUntilKnown submits the patch until its outcome is known and compares it with the expected one.
			submitUntilKnown := func(r *rapid.T, p history.Patch) {
				var o history.Outcome
				var err error
				for range 3 {
					o, err = h.Submit(t.Context(), p)
					if err == nil && o.Kind() != history.Unknown {
						break
					}
					if err != nil && !errors.Is(err, store.ErrUnavailable) {
						r.Fatal(err)
					}
					s.SetDown(false)
					s.SetDelay(0)
				}
				want, known := created[p.ID]
				switch {
				case known && (o.Kind() != history.Applied || o.Version() != want):
					r.Fatalf("repeat of %s: %v %d, want applied %d", p.ID, o.Kind(), o.Version(), want)
				case !known && p.Base == version && (o.Kind() != history.Applied || o.Version() != version+1):
					r.Fatalf("%s on %d: %v %q", p.ID, p.Base, o.Kind(), o.Reason())
				case !known && p.Base != version && (o.Kind() != history.Refused || uint64(len(o.Changes())) != version-p.Base):
					r.Fatalf("%s on %d of %d: %v with %d changes", p.ID, p.Base, version, o.Kind(), len(o.Changes()))
				case !known && p.Base == version:
					version++
					created[p.ID] = version
				}
			}
			r.Repeat(map[string]func(*rapid.T){
				"submit": func(r *rapid.T) {
					count++
					submitUntilKnown(r, keepPatch(version, fmt.Sprint("p", count), rapid.IntRange(0, 40).Draw(r, "keep")))
				},
				"many": func(r *rapid.T) { // enough to move records from the head to pages
					for range 40 {
						count++
						submitUntilKnown(r, keepPatch(version, fmt.Sprint("p", count), count%40))
					}
				},
				"outdated": func(r *rapid.T) {
					count++
					base := rapid.Uint64Range(1, version).Draw(r, "base")
					submitUntilKnown(r, keepPatch(base, fmt.Sprint("p", count), 1))
				},
				"repeat": func(r *rapid.T) {
					id := fmt.Sprint("p", rapid.IntRange(1, max(1, count)).Draw(r, "id"))
					if v, ok := created[id]; ok {
						submitUntilKnown(r, keepPatch(v-1, id, 1))
					}
				},
				"lose": func(r *rapid.T) {
					prefix := rapid.SampledFrom([]string{"", "config/head", "config/part/", "audit/"}).Draw(r, "prefix")
					s.LoseResponses(rapid.IntRange(1, 3).Draw(r, "answers"), prefix)
				},
				"restart": func(*rapid.T) { s.Restart(true) },
				"down":    func(*rapid.T) { s.SetDown(true) },
				"slow":    func(*rapid.T) { s.SetDelay(3 * time.Second) },
				"wait":    func(*rapid.T) { time.Sleep(5 * time.Second) }, // late writes take effect
			})
			s.SetDown(false)
			s.SetDelay(0)
			time.Sleep(5 * time.Second)
			for { // the first read of the head after a restart may be stale
				record, err := h.Load(t.Context())
				if err == nil && record.Version() == version {
					break
				}
				if err == nil && record.Version() != version-1 {
					r.Fatalf("version %d, want %d", record.Version(), version)
				}
			}
			checkAuditComplete(t, h, version)
		})
	})
}
