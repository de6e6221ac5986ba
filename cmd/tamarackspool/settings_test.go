package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

const page = "../../docs/SETTINGS.md"

// requiredArgs are the arguments with which each command that has ranges reaches the check of a flag.
var requiredArgs = map[string]string{
	"entry":  "entry --name e --zone z --region r --peer-key 0123456789 --operator-key 0123456789abcdef",
	"demo":   "demo",
	"target": "target --name t --listen 127.0.0.1:0",
}

// Guards against a flag, variable, default or help text that is missing, wrong or obsolete on the page, and
// against a documented range that the command does not enforce.
func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var c commands
	parser, err := kong.New(&c, kong.DefaultEnvars("TAMARACK"))
	if err != nil {
		t.Fatal(err)
	}
	defined := make(map[string]string)
	for _, command := range parser.Model.Leaves(false) {
		for _, f := range command.Flags {
			defined[command.Name+" --"+f.Name] = tableRow("--"+f.Name, f.Envs, f.Required, f.Default, f.Help)
		}
		for _, p := range command.Positional {
			defined[command.Name+" <"+p.Name+">"] = tableRow("<"+p.Name+">", nil, p.Required, p.Default, p.Help)
		}
	}
	section := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "## "); ok {
			section = name
		}
		cells := strings.Split(strings.Trim(line, "|"), " | ")
		if !strings.HasPrefix(line, "| `") || len(cells) != 5 {
			continue
		}
		key := section + " " + strings.Trim(cells[0], " `")
		want, ok := defined[key]
		if got := strings.Join([]string{cells[0], cells[1], cells[2], cells[4]}, " | "); !ok || strings.TrimSpace(got) != want {
			t.Errorf("%s: the page says\n%s, the definition\n%s", key, got, want)
		}
		delete(defined, key)
		checkRange(t, section, strings.Trim(cells[0], " `"), cells[3])
	}
	for key := range defined {
		t.Errorf("%s is not on the page", key)
	}
}

// tableRow returns a flag's row of the page without the column of accepted values.
func tableRow(name string, envs []string, required bool, defaultValue, help string) string {
	env := "-"
	if len(envs) > 0 {
		env = "`" + envs[0] + "`"
	}
	switch {
	case required:
		defaultValue = "required"
	case defaultValue == "":
		defaultValue = "-"
	default:
		defaultValue = "`" + defaultValue + "`"
	}
	return strings.Join([]string{"`" + name + "`", env, defaultValue, help}, " | ")
}

// rangePattern matches the range in the column of accepted values.
var rangePattern = regexp.MustCompile("^`(\\S+ to \\S+)`$")

// checkRange fails the test unless the command rejects a value below the documented range and names the range.
func checkRange(t *testing.T, command, flag, accepted string) {
	t.Helper()
	m := rangePattern.FindStringSubmatch(accepted)
	if m == nil {
		return
	}
	value := "-1"
	if strings.Contains(accepted, "s") {
		value = "-1s"
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var stdout, stderr bytes.Buffer
	args := append(strings.Fields(requiredArgs[command]), flag+"="+value)
	if got := run(ctx, args, &stdout, &stderr); got != exitUsage || !strings.Contains(stderr.String(), m[1]) || !strings.Contains(stderr.String(), flag) {
		t.Errorf("%s %s=%s: exit status %d, message %q; the page says %q", command, flag, value, got, stderr.String(), accepted)
	}
}

// Guards against an entry that starts with a certificate but no key (or the reverse), with an unreadable chain,
// with tokens that are too short, or with the same token for peers and operators.
func TestEntryRefusesUnsafeKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "chain.pem")
	if err := os.WriteFile(file, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{
		requiredArgs["entry"] + " --cert " + file:                         "--cert-key",
		requiredArgs["entry"] + " --cert-key " + file:                     "--cert",
		requiredArgs["entry"] + " --cert-key " + file + " --cert " + file: "chain.pem",
		requiredArgs["entry"] + " --peer-key 0123456789abcdef":            "must differ",
		requiredArgs["entry"] + " --peer-key 0123":                        "at least 8",
		requiredArgs["entry"] + " --operator-key 0123456789abcde":         "at least 16",
	} {
		var stdout, stderr bytes.Buffer
		if got := run(t.Context(), strings.Fields(args), &stdout, &stderr); got != exitUsage || !strings.Contains(stderr.String(), want) {
			t.Errorf("%s: exit status %d, message %q, want one with %q", args, got, stderr.String(), want)
		}
	}
}
