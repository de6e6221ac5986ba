package scenario_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tamarackspool/internal/demo/scenario"
)

// Guards against the failures that each script names in its comment.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs whole deployments for some seconds")
	}
	testscript.Run(t, scenario.Params("testdata/script"))
}
