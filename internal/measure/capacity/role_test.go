package capacity_test

import (
	"testing"

	"tamarackspool/internal/measure/capacity"
)

// Guards against a role that no longer runs. The command would report that only after minutes of measuring other roles.
func TestRolesMeasureSmallSizes(t *testing.T) {
	for _, r := range []capacity.Role{capacity.LookupRole{}, capacity.SteerRole{}, capacity.DirectoryRole{}, capacity.ConfigRole{}, capacity.OperatorsRole{}} {
		figures, err := r.Measure(t.Context(), 12)
		if err != nil || len(figures) == 0 {
			t.Errorf("%s: figures %v, error %v", r.Name(), figures, err)
		}
	}
}
