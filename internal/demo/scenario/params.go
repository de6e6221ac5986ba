package scenario

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

type stageKey struct{}

// Params returns the parameters of a run of the scripts in a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(e *testscript.Env) error {
			s := newStage()
			e.Values[stageKey{}] = s
			e.Defer(s.close)
			return nil
		},
		Cmds: commands(),
	}
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := make(map[string]func(*testscript.TestScript, bool, []string))
	named := make(map[string]verb)
	for _, v := range verbs() {
		named[v.name] = v
		all[v.name] = func(ts *testscript.TestScript, not bool, args []string) {
			err := perform(ts, v, args)
			switch {
			case errors.Is(err, errUsage):
				ts.Fatalf("usage: %s %s", v.name, v.use)
			case err != nil && !not:
				fail(ts, err)
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
		v, ok := named[args[1]]
		if !ok {
			ts.Fatalf("no verb %q", args[1])
		}
		err = perform(ts, v, args[2:])
		if got := code(err); got != want {
			ts.Fatalf("%s ended with %d, want %d: %v", v.name, got, want, err)
		}
	}
	return all
}

func perform(ts *testscript.TestScript, v verb, args []string) error {
	s := ts.Value(stageKey{}).(*stage)
	if s.live == nil && v.name != "start" {
		return errors.New("scenario: no deployment; begin with start")
	}
	return v.run(s, io.MultiWriter(ts.Stdout()), args)
}

// fail ends the script with the error and what the deployment itself reports.
func fail(ts *testscript.TestScript, err error) {
	s := ts.Value(stageKey{}).(*stage)
	if s.live != nil && s.live.Err() != nil {
		ts.Logf("a part of the deployment failed: %v", s.live.Err())
	}
	if os.Getenv(LogVariable) != "" {
		ts.Logf("%s", s.log.text())
	}
	ts.Fatalf("%v", err)
}

// LogVariable is the environment variable with which a failed script prints the events of all entries.
const LogVariable = "TAMARACK_SCENARIO_LOG"

// code returns the exit status that the operators' command would end with.
func code(err error) int {
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
