package capacity

import (
	"context"
	"slices"
	"time"

	"tamarackspool/internal/fleet/member"
)

// longestDeath is how long the measurement waits for the others to notice that an entry has stopped.
const longestDeath = 90 * time.Second

// die stops one entry without a word and measures when the others call it dead; false deaths of running entries are
// counted at the end. An entry that does not notice counts the whole wait.
func (f *fleet) die(ctx context.Context, out map[string]float64) {
	victim := len(f.entries) - 1
	others := f.entries[:victim]
	f.entries[victim].stop()
	start := time.Now()
	noticed := make([]float64, len(others))
	for left := len(others); left > 0 && time.Since(start) < longestDeath && ctx.Err() == nil; {
		for i, e := range others {
			if noticed[i] == 0 && e.dead(entryName(victim)) > 0 {
				noticed[i] = time.Since(start).Seconds()
				left--
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	wrong := 0
	for i, e := range others {
		if noticed[i] == 0 {
			noticed[i] = longestDeath.Seconds()
		}
		wrong += e.dead("") - e.dead(entryName(victim))
	}
	slices.Sort(noticed)
	out["death-p50-s"] = noticed[len(noticed)/2]
	out["death-max-s"] = noticed[len(noticed)-1]
	out["false-deaths"] = float64(wrong)
}

// dead counts the members that the entry calls dead; with a name it looks at that member only.
func (e entry) dead(name string) int {
	count := 0
	for _, m := range e.Members() {
		if m.State() == member.Dead && (name == "" || m.Name() == name) {
			count++
		}
	}
	return count
}
