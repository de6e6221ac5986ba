package quota_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackspool/internal/steer/quota"
)

// Measures the choice of the owners of an account, which every call and every grant makes.
func BenchmarkOwners(b *testing.B) {
	for _, entries := range []int{79, 590} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var members []quota.Member
			for i := range entries {
				members = append(members, quota.Member{Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", i%3)})
			}
			roster := quota.Roster{}.Next(members, "e0", 0, 0)
			key := quota.Key(account)
			for b.Loop() {
				if len(roster.Owners("r1", key, time.Hour)) != 3 {
					b.Fatal("a region has no owner")
				}
			}
		})
	}
}
