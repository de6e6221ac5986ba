package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"
)

// commands are the subcommands. Every flag can also be set by an environment
// variable TAMARACK_<FLAG>, except those that docs/SETTINGS.md lists without one.
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

// exitPanic is the panic value that carries the exit status out of the parser, which would otherwise exit the process for --help.
type exitPanic int

// run parses the arguments, runs the command and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exitPanic:
			code = int(p)
		default:
			panic(p)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("tamarackspool"),
		kong.Description("A global traffic steering system."),
		kong.DefaultEnvars("TAMARACK"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
	)
	if err != nil {
		fmt.Fprintln(stderr, "tamarackspool:", err)
		return exitInternal
	}
	k, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "tamarackspool:", err)
		return exitUsage
	}
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(&streams{stdout: stdout, stderr: stderr, stdin: os.Stdin})
	if err := k.Run(); err != nil {
		fmt.Fprintln(stderr, "tamarackspool:", err)
		return exitCode(err)
	}
	return exitDone
}

// streams are the standard streams of a command.
type streams struct {
	stdout, stderr io.Writer
	stdin          io.Reader
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

// exitKey is the key of the exit status in an error's context.
const exitKey = "exit"

// exitErrorf returns a formatted error with the given exit status.
func exitErrorf(code int, format string, args ...any) error {
	return oops.With(exitKey, code).Errorf(format, args...)
}

// withExitCode wraps an error with an exit status.
func withExitCode(code int, err error) error { return oops.With(exitKey, code).Wrap(err) }

// exitCode returns the exit status of an error, exitInternal when it has none.
func exitCode(err error) int {
	if e, ok := oops.AsOops(err); ok {
		if code, ok := e.Context()[exitKey].(int); ok {
			return code
		}
	}
	return exitInternal
}
