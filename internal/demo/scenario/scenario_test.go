package scenario_test

import (
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/goleak"

	"tamarackspool/internal/demo/scenario"
)

// Guards against goroutines of a deployment that outlive their script.
func TestMain(m *testing.M) {
	// The race detector crashes when timers of simulated time fire on two threads at once.
	runtime.GOMAXPROCS(1)
	goleak.VerifyTestMain(m)
}

// simulated runs each script as a subtest in simulated time.
type simulated struct{ *testing.T }

// Parallel does nothing: a test in simulated time cannot wait for others.
func (simulated) Parallel() {}

// Verbose reports whether the tests run in verbose mode.
func (simulated) Verbose() bool { return testing.Verbose() }

// Run runs a script as a subtest.
func (s simulated) Run(name string, f func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { f(simulated{t}) })
	})
}

// Guards against the failures that the comment at the head of each script names.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs whole deployments for some seconds")
	}
	testscript.RunT(simulated{t}, scenario.Params("testdata/script"))
}
