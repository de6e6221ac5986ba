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

// validArgs are arguments that pass every check.
var validArgs = []string{
	"--name=e", "--zone=z", "--region=r", "--zones=z=r,y=q", "--call=127.0.0.1:0", "--ready=127.0.0.1:0",
	"--directory=127.0.0.1:0", "--peer=127.0.0.1:0", "--store=127.0.0.1:1", "--seeds=127.0.0.1:2",
}

// runCanceled runs the command with a canceled context and returns its exit status and its error output.
func runCanceled(t *testing.T, args ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var stdout, stderr bytes.Buffer
	return run(ctx, args, &stdout, &stderr), stderr.String()
}

// Guards against an invalid setting with which an entry starts anyway, or whose error message lacks the flag's name or the range.
func TestInvalidSettingsAreNamed(t *testing.T) {
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
		{"--answer=1", "--answer 1 is out of range; the range is 2 to 1024"},
		{"--log=loud", "none, beliefs, requests"},
		{"--log-rate=1", "--log-rate"},
		{"--revoke=-1", "--revoke -1 is out of range; the range is 0 to 3600"},
		{"--quota-window=0", "--quota-window 0 is out of range; the range is 0.5 to 3600"},
		{"--quota-over=-1", "--quota-over -1 is out of range; the range is 0 to 10"},
		{"--overload=1.5", "--overload 1.5 is out of range; the range is 0 to 1"},
		{"--hedge=0.3", "--hedge 0.3 is out of range; the range is 0 to 0.2"},
		{"--hedge=-0.1", "--hedge -0.1 is out of range; the range is 0 to 0.2"},
		{"--quota-slack=-1", "--quota-slack -1 is out of range; the range is 0 to 1e+06"},
		{"--unknown=1", "unknown"},
	} {
		code, message := runCanceled(t, append(append([]string(nil), validArgs...), c.arg)...)
		if code != exitUsage || !strings.Contains(message, c.want) {
			t.Errorf("%s: exit status %d, message %q, want %d and %q", c.arg, code, message, exitUsage, c.want)
		}
	}
	for i, arg := range validArgs[:9] {
		name, _, _ := strings.Cut(arg, "=")
		rest := append(append([]string(nil), validArgs[:i]...), validArgs[i+1:]...)
		if code, message := runCanceled(t, rest...); code != exitUsage || !strings.Contains(message, name) {
			t.Errorf("without %s: exit status %d, message %q", name, code, message)
		}
	}
}

// Guards against an address that cannot be listened on and ends the process without a message that names the flag.
func TestListenErrorNamesFlag(t *testing.T) {
	args := append(append([]string(nil), validArgs...), "--call=192.0.2.1:1")
	if code, message := runCanceled(t, args...); code != exitInternal || !strings.Contains(message, "--call") {
		t.Errorf("exit status %d, message %q", code, message)
	}
}

// Guards against a flag, variable, default or help text that is missing or wrong on the page.
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
	flagCount := 0
	for _, flag := range parser.Model.Flags {
		if flag.Name == "help" {
			continue
		}
		flagCount++
		defaultCell := "`" + flag.Default + "`"
		switch {
		case flag.Required:
			defaultCell = "required"
		case flag.Default == "":
			defaultCell = "-"
		}
		row := "| `--" + flag.Name + "` | `" + flag.Envs[0] + "` | " + defaultCell + " | " + flag.Help + " |"
		if !strings.Contains(string(data), row) {
			t.Errorf("the page lacks\n%s", row)
		}
	}
	if got := strings.Count(string(data), "\n| `--"); got != flagCount {
		t.Errorf("%d flags on the page, %d defined", got, flagCount)
	}
}

// Guards against a deployment file that sets an unknown variable or omits a required one.
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
			t.Errorf("%s is not a known setting", name)
		}
	}
}
