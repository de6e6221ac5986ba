package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands are the subcommands; every flag but those that
// docs/SETTINGS.md lists without one can also be set by an environment variable TAMARACK_<FLAG>.
type commands struct {
	Entry  entryCommand  `cmd:"" help:"Run one entry."`
	Demo   demoCommand   `cmd:"" help:"Run a whole deployment in this process and check the promises."`
	Store  storeCommand  `cmd:"" help:"Run the stand-in of the platform's key-value service and VM list."`
	Target targetCommand `cmd:"" help:"Run the stand-in of a target."`
	Patch  patchCommand  `cmd:"" help:"Submit a JSON patch (RFC 6902) to the configuration."`
	Config configCommand `cmd:"" help:"Print the configuration in force at an entry."`
	Status statusCommand `cmd:"" help:"Print the status of the fleet as one entry collects it."`
	Drain  drainCommand  `cmd:"" help:"Plan the emptying of targets."`
	Audit  auditCommand  `cmd:"" help:"Print the audit trail."`
	Lookup lookupCommand `cmd:"" help:"Ask an entry which entries a caller should use."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// finished carries the exit status out of the parser, which ends the process for --help.
type finished int

// run parses the arguments, runs the command and returns the exit status.
func run(ctx context.Context, args []string, out, problems io.Writer) (code int) {
	defer func() {
		if f, ok := recover().(finished); ok {
			code = int(f)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("tamarackspool"),
		kong.Description("A global traffic steering system."),
		kong.DefaultEnvars("TAMARACK"),
		kong.Writers(out, problems),
		kong.Exit(func(code int) { panic(finished(code)) }),
	)
	if err != nil {
		fmt.Fprintln(problems, "tamarackspool:", err)
		return exitInternal
	}
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(problems, "tamarackspool:", err)
		return exitUsage
	}
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(&streams{out: out, problems: problems, input: os.Stdin})
	if err := k.Run(); err != nil {
		fmt.Fprintln(problems, "tamarackspool:", err)
		return exitCode(err)
	}
	return exitDone
}

// streams are where a command reads and writes.
type streams struct {
	out, problems io.Writer
	input         io.Reader
}

// The exit statuses of all commands.
const (
	exitDone        = 0
	exitInternal    = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnavailable = 4
	exitUnknown     = 5
	exitBroken      = 6
)

// failure is an error with an exit status.
type failure struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.err }

func fail(code int, format string, args ...any) error {
	return &failure{code, fmt.Errorf(format, args...)}
}

func exitCode(err error) int {
	if f, ok := errors.AsType[*failure](err); ok {
		return f.code
	}
	return exitInternal
}
