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

// page returns the operators' page of all events.
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

// Guards against an event that operators see in the log and do not find in docs/EVENTS.md, or find with another meaning.
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
