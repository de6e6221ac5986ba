package capacity

import (
	"context"
	"slices"
	"time"

	"tamarackspool/internal/fleet/member"
)

// detectionTimeout is the longest wait for the other entries to detect that an entry has stopped.
const detectionTimeout = 90 * time.Second

// measureFailureDetection stops one entry without notice and measures when the others mark it dead. At the end it counts
// the running entries that are falsely marked dead. An entry that does not detect the failure counts as the whole timeout.
func (f *fleet) measureFailureDetection(ctx context.Context, out map[string]float64) {
	victim := len(f.entries) - 1
	others := f.entries[:victim]
	f.entries[victim].stop()
	start := time.Now()
	noticed := make([]float64, len(others))
	for remaining := len(others); remaining > 0 && time.Since(start) < detectionTimeout && ctx.Err() == nil; {
		for i, e := range others {
			if noticed[i] == 0 && e.countDead(entryName(victim)) > 0 {
				noticed[i] = time.Since(start).Seconds()
				remaining--
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	falseDeaths := 0
	for i, e := range others {
		if noticed[i] == 0 {
			noticed[i] = detectionTimeout.Seconds()
		}
		falseDeaths += e.countDead("") - e.countDead(entryName(victim))
	}
	slices.Sort(noticed)
	out["death-p50-s"] = noticed[len(noticed)/2]
	out["death-max-s"] = noticed[len(noticed)-1]
	out["false-deaths"] = float64(falseDeaths)
}

// countDead counts the members that the entry has marked dead; if name is set, only the member of that name.
func (e entry) countDead(name string) int {
	count := 0
	for _, m := range e.Members() {
		if m.State() == member.Dead && (name == "" || m.Name() == name) {
			count++
		}
	}
	return count
}
