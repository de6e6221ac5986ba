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

// required are arguments that let each command with ranges get as far as the check of the flag.
var required = map[string]string{
	"entry":  "entry --name e --zone z --region r --peer-key 0123456789 --operator-key 0123456789abcdef",
	"demo":   "demo",
	"target": "target --name t --listen 127.0.0.1:0",
}

// Guards against a flag, variable, default or meaning that the page lacks, has wrongly or has too much, and
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
			defined[command.Name+" --"+f.Name] = row("--"+f.Name, f.Envs, f.Required, f.Default, f.Help)
		}
		for _, p := range command.Positional {
			defined[command.Name+" <"+p.Name+">"] = row("<"+p.Name+">", nil, p.Required, p.Default, p.Help)
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
		enforced(t, section, strings.Trim(cells[0], " `"), cells[3])
	}
	for key := range defined {
		t.Errorf("%s is not on the page", key)
	}
}

func row(name string, envs []string, must bool, preset, meaning string) string {
	env := "-"
	if len(envs) > 0 {
		env = "`" + envs[0] + "`"
	}
	switch {
	case must:
		preset = "required"
	case preset == "":
		preset = "-"
	default:
		preset = "`" + preset + "`"
	}
	return strings.Join([]string{"`" + name + "`", env, preset, meaning}, " | ")
}

var ranged = regexp.MustCompile("^`(\\S+ to \\S+)`$")

// enforced runs the command with a value below the range.
func enforced(t *testing.T, command, flag, accepted string) {
	t.Helper()
	m := ranged.FindStringSubmatch(accepted)
	if m == nil {
		return
	}
	value := "-1"
	if strings.Contains(accepted, "s") {
		value = "-1s"
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out, problems bytes.Buffer
	args := append(strings.Fields(required[command]), flag+"="+value)
	if got := run(ctx, args, &out, &problems); got != exitUsage || !strings.Contains(problems.String(), m[1]) || !strings.Contains(problems.String(), flag) {
		t.Errorf("%s %s=%s: exit status %d, message %q; the page says %q", command, flag, value, got, problems.String(), accepted)
	}
}

// Guards against an entry that starts with half of a certificate, or with the same key for peers and operators.
func TestEntryRefusesUnsafeKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "chain.pem")
	if err := os.WriteFile(file, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{
		required["entry"] + " --cert " + file:                         "--cert-key",
		required["entry"] + " --cert-key " + file:                     "--cert",
		required["entry"] + " --cert-key " + file + " --cert " + file: "chain.pem",
		required["entry"] + " --peer-key 0123456789abcdef":            "must differ",
		required["entry"] + " --peer-key 0123":                        "at least 8",
		required["entry"] + " --operator-key 0123456789abcde":         "at least 16",
	} {
		var out, problems bytes.Buffer
		if got := run(t.Context(), strings.Fields(args), &out, &problems); got != exitUsage || !strings.Contains(problems.String(), want) {
			t.Errorf("%s: exit status %d, message %q, want one with %q", args, got, problems.String(), want)
		}
	}
}
