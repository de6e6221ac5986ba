package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"tamarackspool/internal/request/verdict"
)

// Guards against reporting an error without proof as not run.
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	if got := verdict.Of(errors.New("connection reset")); got != verdict.MayHaveRun {
		t.Errorf("Of(plain error) = %v, want may-have-run", got)
	}
	wrapped := fmt.Errorf("forward: %w", verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, 503, nil))
	if got := verdict.Of(wrapped); got != verdict.NotRun {
		t.Errorf("Of(wrapped) = %v, want not-run", got)
	}
}

// Guards against accepting a peer's invalid verdict as proof.
func TestParseDefaultsToMayHaveRun(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		if got, err := verdict.Parse(v.String()); got != v || err != nil {
			t.Errorf("Parse(%q) = %v, %v", v, got, err)
		}
	}
	if got, err := verdict.Parse("no"); got != verdict.MayHaveRun || err == nil {
		t.Errorf("Parse(no) = %v, %v, want may-have-run and an error", got, err)
	}
}
