package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// Guards against a page that shows a command or a flag that does not exist.
func TestCommandsInPagesParse(t *testing.T) {
	t.Setenv("TAMARACK_PEER_KEY", "an-example-peer-key")
	t.Setenv("TAMARACK_OPERATOR_KEY", "an-example-operator-key")
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	commandCount := 0
	for _, page := range append(pages, "../../README.md") {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(string(data), "\\\n", " ")
		for line := range strings.Lines(text) {
			line = strings.Replace(strings.TrimRight(line, "\n"), "go run ./cmd/tamarackspool ", "tamarackspool ", 1)
			rest, ok := strings.CutPrefix(line, "    tamarackspool ")
			if !ok {
				continue
			}
			commandCount++
			if err := parse(splitArgs(rest)); err != nil {
				t.Errorf("%s: %s: %v", filepath.Base(page), line, err)
			}
		}
	}
	if commandCount == 0 {
		t.Error("no page shows a command")
	}
}

func parse(args []string) error {
	var c commands
	parser, err := kong.New(&c, kong.DefaultEnvars("TAMARACK"))
	if err != nil {
		return err
	}
	_, err = parser.Parse(args)
	return err
}

// splitArgs splits a command line at spaces outside single quotes.
func splitArgs(line string) []string {
	quoted := false
	split := strings.FieldsFunc(line, func(r rune) bool {
		if r == '\'' {
			quoted = !quoted
		}
		return r == ' ' && !quoted
	})
	for i, w := range split {
		split[i] = strings.Trim(w, "'")
	}
	return split
}
