package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/goleak"

	"tamarackspool/internal/demo/scenario"
)

// Guards against parts of a deployment that outlive their script.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against the failures that each script names in its comment.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs whole deployments for some seconds")
	}
	testscript.Run(t, scenario.Params("testdata/script"))
}
