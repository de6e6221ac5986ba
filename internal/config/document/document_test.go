package document_test

import (
	"testing"
	"time"

	"tamarackspool/internal/config/document"
)

// Guards against a drain that misses targets covered through their zone, or that is active before its start or from its end on.
func TestDrainedTargets(t *testing.T) {
	start := time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)
	d := document.New(document.Fields{
		Zones: []document.Zone{document.NewZone("ege-a", "ege"), document.NewZone("ege-b", "ege")},
		Targets: []document.Target{
			document.NewTarget(document.TargetFields{Name: "status-1", Zone: "ege-a"}),
			document.NewTarget(document.TargetFields{Name: "status-2", Zone: "ege-b"}),
		},
		Drains: []document.Drain{document.NewDrain(document.DrainFields{
			Name: "weekly", Zone: "ege-a", Start: start, End: start.Add(time.Hour),
		})},
	})
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{-time.Second, 0}, {0, 1}, {59 * time.Minute, 1}, {time.Hour, 0}} {
		got := d.DrainedTargets(start.Add(c.at))
		if len(got) != c.want {
			t.Errorf("DrainedTargets at start%+v = %v, want %d targets", c.at, got, c.want)
		}
		if c.want == 1 && got["status-1"] != "weekly" {
			t.Errorf("DrainedTargets at start%+v = %v, want status-1 by weekly", c.at, got)
		}
	}
}

// Guards against a link that is found only when its regions are given in the configured order.
func TestLinkEitherOrder(t *testing.T) {
	d := document.New(document.Fields{Links: []document.Link{document.NewLink("ege", "marmara", 500)}})
	if l, ok := d.Link("marmara", "ege"); !ok || l.BytesPerSecond() != 500 {
		t.Errorf("Link(marmara, ege) = %v, %v", l, ok)
	}
}
