package console

import "fmt"

// The exit codes of commands.
const (
	CodeInternal    = 1 // CodeInternal is an internal error.
	CodeInput       = 2 // CodeInput is invalid usage or input.
	CodeRefused     = 3 // CodeRefused means that nothing was changed.
	CodeUnavailable = 4 // CodeUnavailable means that no entry or store could be reached; nothing was changed.
	CodeUnknown     = 5 // CodeUnknown means that the outcome is unknown; submit again with the same ID to learn it.
)

// Failure is an error with the exit code of the command.
type Failure struct {
	code int
	text string
}

// Error returns the message.
func (f *Failure) Error() string { return f.text }

// ExitCode returns the exit code of the command; kong ends the process with it.
func (f *Failure) ExitCode() int { return f.code }

func failf(code int, format string, args ...any) *Failure {
	return &Failure{code, "console: " + fmt.Sprintf(format, args...)}
}
