package deployment_test

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"tamarackspool/internal/demo/deployment"
	"tamarackspool/internal/demo/promise"
	"tamarackspool/internal/standin/network"
)

// Guards against goroutines of the demo that outlive it.
func TestMain(m *testing.M) {
	// The race detector crashes when timers of simulated time fire on two threads at once.
	runtime.GOMAXPROCS(1)
	goleak.VerifyTestMain(m)
}

// run runs the demo in simulated time with 30 % of its traffic.
func run(t *testing.T, name string, faults ...deployment.Fault) (s deployment.Summary) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs a whole deployment for some seconds")
	}
	synctest.Test(t, func(t *testing.T) {
		var err error
		s, err = deployment.Run(t.Context(), deployment.Settings{
			Deployment: name, Duration: 6 * time.Second, Seed: 1, LoadFraction: 0.3, Faults: faults,
			Progress: t.Output(), Loopback: network.NewMemory(),
		})
		if err != nil {
			t.Fatal(err)
		}
	})
	return s
}

// Guards against a deployment that breaks one of its promises or serves none of
// a service's requests.
func TestPromisesHold(t *testing.T) {
	for _, name := range []string{"letters", "cartridge"} {
		t.Run(name, func(t *testing.T) {
			s := run(t, name)
			for _, b := range s.Breaches {
				t.Errorf("%s, %d times: %s", b.Promise, b.Count, b.Example)
			}
			for _, v := range s.Services {
				if v.Requests == 0 || v.Requests == v.NotRun+v.Unknown {
					t.Errorf("%s: %d requests, none answered", v.Name, v.Requests)
				}
			}
		})
	}
}

// Guards against checks that pass although an injected fault breaks a promise.
func TestFaultsAreFound(t *testing.T) {
	promises := map[deployment.Fault]string{
		deployment.FaultTwice: promise.AtMostOnce, deployment.FaultLie: promise.NotRun,
		deployment.FaultMixed: promise.CompleteAnswer, deployment.FaultShort: promise.CompleteAnswer,
		deployment.FaultLate: promise.LeavingTarget, deployment.FaultFlood: promise.LinkAndRegionLimits,
		deployment.FaultCut: promise.PlannedStop, deployment.FaultShift: promise.ShiftCap,
		deployment.FaultStale: promise.MonotonicVersions,
	}
	// The faults of one run break different promises, so that each breach shows its fault.
	for _, faults := range [][]deployment.Fault{
		{
			deployment.FaultTwice, deployment.FaultMixed, deployment.FaultLate,
			deployment.FaultFlood, deployment.FaultCut, deployment.FaultShift,
		},
		{deployment.FaultLie, deployment.FaultShort, deployment.FaultStale},
	} {
		broken := make(map[string]bool)
		for _, b := range run(t, "cartridge", faults...).Breaches {
			broken[b.Promise] = true
		}
		for _, f := range faults {
			if !broken[promises[f]] {
				t.Errorf("fault %s: no breach of %q was found", f, promises[f])
			}
		}
	}
}
