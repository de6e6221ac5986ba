package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

const page = "../../docs/EDGE.md"

// good are arguments that pass every check.
var good = []string{
	"--name=e", "--zone=z", "--region=r", "--zones=z=r,y=q", "--call=127.0.0.1:0", "--ready=127.0.0.1:0",
	"--directory=127.0.0.1:0", "--peer=127.0.0.1:0", "--store=127.0.0.1:1", "--seeds=127.0.0.1:2",
}

// tryRun runs the command, whose context has ended, and returns its exit status and its message.
func tryRun(t *testing.T, args ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out, problems bytes.Buffer
	return run(ctx, args, &out, &problems), problems.String()
}

// Guards against a setting that is wrong and starts an entry all the same, or is refused without its name and range.
func TestWrongSettingsAreNamed(t *testing.T) {
	for _, c := range []struct{ arg, want string }{
		{"--call=nowhere", `--call "nowhere": an IP address and a port are needed`},
		{"--store=", "--store"},
		{"--seeds=127.0.0.1:2,x", `--seeds "x"`},
		{"--metrics=9102", `--metrics "9102"`},
		{"--zone=y", "--zone"},
		{"--zones=z", "--zones"},
		{"--grace=soon", "--grace"},
		{"--grace=0", "--grace 0 is out of range; the range is 1 to 3600"},
		{"--lookup-ttl=-1", "the range is 0.1 to 3600"},
		{"--memory=1", "--memory 1 is out of range"},
		{"--log=loud", "none, beliefs, requests"},
		{"--log-rate=1", "--log-rate"},
		{"--unknown=1", "unknown"},
	} {
		code, message := tryRun(t, append(append([]string(nil), good...), c.arg)...)
		if code != exitUsage || !strings.Contains(message, c.want) {
			t.Errorf("%s: exit status %d, message %q, want %d and %q", c.arg, code, message, exitUsage, c.want)
		}
	}
	for i, arg := range good[:9] {
		name, _, _ := strings.Cut(arg, "=")
		rest := append(append([]string(nil), good[:i]...), good[i+1:]...)
		if code, message := tryRun(t, rest...); code != exitUsage || !strings.Contains(message, name) {
			t.Errorf("without %s: exit status %d, message %q", name, code, message)
		}
	}
}

// Guards against an address in use that ends the process without a word.
func TestAddressInUseIsNamed(t *testing.T) {
	args := append(append([]string(nil), good...), "--call=192.0.2.1:1")
	if code, message := tryRun(t, args...); code != exitInternal || !strings.Contains(message, "--call") {
		t.Errorf("exit status %d, message %q", code, message)
	}
}

// Guards against a flag, variable, default or meaning that the page lacks or has wrongly.
func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var f flags
	parser, err := kong.New(&f, kong.DefaultEnvars("TAMARACK"))
	if err != nil {
		t.Fatal(err)
	}
	defined := 0
	for _, flag := range parser.Model.Flags {
		if flag.Name == "help" {
			continue
		}
		defined++
		preset := "`" + flag.Default + "`"
		switch {
		case flag.Required:
			preset = "required"
		case flag.Default == "":
			preset = "-"
		}
		row := "| `--" + flag.Name + "` | `" + flag.Envs[0] + "` | " + preset + " | " + flag.Help + " |"
		if !strings.Contains(string(data), row) {
			t.Errorf("the page lacks\n%s", row)
		}
	}
	if got := strings.Count(string(data), "\n| `--"); got != defined {
		t.Errorf("%d flags on the page, %d defined", got, defined)
	}
}

// Guards against a deploy file that sets a variable which is no setting, or leaves a required one out.
func TestDeployFileSetsEveryRequiredSetting(t *testing.T) {
	data, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	var f flags
	parser, err := kong.New(&f, kong.DefaultEnvars("TAMARACK"))
	if err != nil {
		t.Fatal(err)
	}
	known := make(map[string]bool)
	for _, flag := range parser.Model.Flags {
		if len(flag.Envs) == 0 {
			continue
		}
		known[flag.Envs[0]] = true
		if flag.Required && !strings.Contains(string(data), "\n"+flag.Envs[0]+" = ") {
			t.Errorf("%s is not set", flag.Envs[0])
		}
	}
	for line := range strings.Lines(string(data)) {
		if name, _, ok := strings.Cut(line, " = "); ok && strings.HasPrefix(name, "TAMARACK_") && !known[name] {
			t.Errorf("%s is no setting", name)
		}
	}
}
