package admission_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/internal/steer/admission"
)

// BenchmarkAdmit measures the decision on arrival at an entry with 82 accounts of three priorities.
func BenchmarkAdmit(b *testing.B) {
	for name, overloaded := range map[string]bool{"calm": false, "overloaded": true} {
		b.Run(name, func(b *testing.B) {
			s := admission.New(admission.Limits{RetriesPerRequest: 0.1, Horizon: 6 * time.Second, OverloadShare: 0.1})
			var requests []admission.Request
			for i := range 82 {
				requests = append(requests, admission.Request{Priority: i % 3, Account: fmt.Sprint(i), Quota: 10})
			}
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				r := requests[i%len(requests)]
				s.Admit(r, now)
				if overloaded {
					s.RecordShed(r, true, now)
				}
			}
		})
	}
}
