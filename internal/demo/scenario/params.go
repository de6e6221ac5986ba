package scenario

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

type stateKey struct{}

// Params returns the testscript parameters for the scripts in a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(e *testscript.Env) error {
			s := newScriptState()
			e.Values[stateKey{}] = s
			e.Defer(s.close)
			return nil
		},
		Cmds: commands(),
	}
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := make(map[string]func(*testscript.TestScript, bool, []string))
	verbsByName := make(map[string]verb)
	for _, v := range verbs() {
		verbsByName[v.name] = v
		all[v.name] = func(ts *testscript.TestScript, not bool, args []string) {
			err := runVerb(ts, v, args)
			switch {
			case errors.Is(err, errUsage):
				ts.Fatalf("usage: %s %s", v.name, v.usage)
			case err != nil && !not:
				failScript(ts, err)
			case err == nil && not:
				ts.Fatalf("%s succeeded", v.name)
			case err != nil:
				fmt.Fprintln(ts.Stderr(), err)
			}
		}
	}
	all["exits"] = func(ts *testscript.TestScript, _ bool, args []string) {
		if len(args) < 2 {
			ts.Fatalf("usage: exits STATUS VERB [ARGUMENT...]")
		}
		want, err := strconv.Atoi(args[0])
		ts.Check(err)
		v, ok := verbsByName[args[1]]
		if !ok {
			ts.Fatalf("no verb %q", args[1])
		}
		err = runVerb(ts, v, args[2:])
		if got := exitStatus(err); got != want {
			ts.Fatalf("%s ended with %d, want %d: %v", v.name, got, want, err)
		}
	}
	return all
}

func runVerb(ts *testscript.TestScript, v verb, args []string) error {
	s := ts.Value(stateKey{}).(*scriptState)
	if s.live == nil && v.name != "start" {
		return errors.New("scenario: no deployment; begin with start")
	}
	return v.run(s, io.MultiWriter(ts.Stdout()), args)
}

// failScript ends the script with the error. It logs a failure of the deployment
// itself and, if LogVariable is set, the events of all entries.
func failScript(ts *testscript.TestScript, err error) {
	s := ts.Value(stateKey{}).(*scriptState)
	if s.live != nil && s.live.Err() != nil {
		ts.Logf("a part of the deployment failed: %v", s.live.Err())
	}
	if os.Getenv(LogVariable) != "" {
		ts.Logf("%s", s.log.text())
	}
	ts.Fatalf("%v", err)
}

// LogVariable is the environment variable that makes a failed script print the events of all entries.
const LogVariable = "TAMARACK_SCENARIO_LOG"

// exitStatus returns the exit status of the operators' command for the error.
func exitStatus(err error) int {
	var exit interface{ ExitCode() int }
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	default:
		return 1
	}
}
