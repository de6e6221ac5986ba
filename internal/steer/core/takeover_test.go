package core_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/decision"
	"tamarackspool/internal/steer/table"
)

// Guards against a new owner that uses all slots of a target while the former owner's requests still run there.
func TestNewOwnerStartsFromTheReport(t *testing.T) {
	for _, c := range []struct {
		busy, want int
		silent     bool
	}{{busy: 0, want: 6}, {busy: 4, want: 2}, {busy: 6, want: 1}, {busy: 9, want: 1}, {silent: true, want: 1}} {
		f := fields(8, 6)
		in := &table.Input{Document: document.New(f), Members: allAlive(f), Confirmed: true}
		core := newCore()
		var s *decision.Snapshot
		for at := start; !at.After(start.Add(2 * time.Second)); at = at.Add(100 * time.Millisecond) {
			in.Reports = nil
			for _, target := range f.Targets {
				if !c.silent {
					in.Reports = append(in.Reports, table.Report{Target: target.Name(), Busy: c.busy, Slots: 6, At: at})
				}
			}
			s = core.Step(at, in)
		}
		for _, st := range s.Status().Targets {
			if st.Limit != c.want {
				t.Errorf("%s: limit %d after the hold with %d of 6 slots busy, want %d", st.Name, st.Limit, c.busy, c.want)
			}
		}
	}
}
