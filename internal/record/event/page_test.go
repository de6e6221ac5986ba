package event_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tamarackspool/internal/record/event"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

// page returns the content of docs/EVENTS.md.
func page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of an entry carries `event=<number> name=<name>`. " +
		"A number keeps its meaning for good. 1xxx: process, 2xxx: configuration and store, 30xx: membership, " +
		"31xx: steering, 4xxx: requests, 5xxx: operators.\n\n" +
		"This page is written by `go test ./internal/record/event -update`.\n\n" +
		"| number | name | meaning | what to do |\n|---|---|---|---|\n")
	for _, e := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number(), e.Name(), e.Meaning(), e.Action())
	}
	return b.String()
}

// Guards against an event of the catalogue that is missing from docs/EVENTS.md or has another meaning there.
func TestPageAgreesWithCatalogue(t *testing.T) {
	path := filepath.Join("..", "..", "..", "docs", "EVENTS.md")
	if *update {
		if err := os.WriteFile(path, []byte(page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != page() {
		t.Error("docs/EVENTS.md differs from the catalogue; run go test ./internal/record/event -update")
	}
}
