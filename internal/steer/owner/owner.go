package owner

import (
	"time"

	"tamarackspool/internal/record/event"
	"tamarackspool/internal/steer/table"
)

// HoldTime is the time for which a new owner sends no requests to a target, so that
// the former owner's requests have ended or appear in the target's reports.
const HoldTime = 2 * time.Second

// Update assigns each target of the region to its owner when the
// configuration or the live entries have changed.
func Update(now time.Time, t *table.Tables) {
	if !t.Changed {
		return
	}
	zones := make(map[string][]string)
	var region []string
	for _, e := range t.Entries {
		if e.Region != t.Region || !live(t, e) {
			continue
		}
		zones[e.Spec.Zone()] = append(zones[e.Spec.Zone()], e.Spec.Name())
		region = append(region, e.Spec.Name())
	}
	t.Owned = t.Owned[:0]
	owners := assignment(t, zones, region)
	for i := range t.Targets {
		r := &t.Targets[i]
		assign(now, t, r, owners[i])
		if r.Owned {
			t.Owned = append(t.Owned, i)
		}
	}
}

// live reports whether the entry can own targets; an entry on a leaving VM cannot, so its targets get a new owner.
func live(t *table.Tables, e table.Entry) bool {
	return (e.State == table.Alive || e.State == table.Suspect) && !t.VMLeaving(e.Spec.Name())
}

func assign(now time.Time, t *table.Tables, r *table.Target, owner string) {
	mine := owner == t.Self
	if mine && !r.Owned {
		r.HoldUntil = now.Add(HoldTime)
		r.NeedsRamp = true
		t.Emit(event.OwnerTaken, "target", r.Spec.Name(), "before", r.Owner)
	}
	r.Owner, r.Owned = owner, mine
}
