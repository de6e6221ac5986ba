package deployment

import "tamarackspool/internal/standin/caller"

// failureReasons counts the attempts of each service without the verdict ran, by verdict and reason.
func failureReasons(records []caller.Record) map[string]map[string]int {
	all := make(map[string]map[string]int)
	for _, r := range records {
		for _, t := range r.Attempts {
			if t.Verdict == "ran" {
				continue
			}
			if all[r.Service] == nil {
				all[r.Service] = make(map[string]int)
			}
			all[r.Service][t.Verdict+" "+t.Reason]++
		}
	}
	return all
}
