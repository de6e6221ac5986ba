package scenario_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"tamarackspool/internal/demo/scenario"
)

const page = "../../../docs/SCENARIOS.md"

var row = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| `([^`]*)` \\|$")

// Guards against verbs that are missing on the page or exist only there.
func TestPageNamesVerbs(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	named := make(map[string]string)
	for _, m := range row.FindAllStringSubmatch(string(data), -1) {
		named[m[1]] = strings.ReplaceAll(m[2], `\|`, "|")
	}
	usage := scenario.Usage()
	for name, use := range usage {
		if got, ok := named[name]; !ok || got != use {
			t.Errorf("verb %s %s: the page has %q", name, use, got)
		}
	}
	for name := range named {
		if _, ok := usage[name]; !ok {
			t.Errorf("the page names the verb %s, which does not exist", name)
		}
	}
}

// Guards against an audit check that misses a gap, a duplicate version, a duplicate ID or a surplus record.
func TestCheckTrail(t *testing.T) {
	record := func(version uint64) scenario.AuditRecord {
		return scenario.AuditRecord{Version: version, ID: fmt.Sprint(version)}
	}
	complete := []scenario.AuditRecord{record(2), record(3), record(4)}
	if err := scenario.CheckTrail(complete, 4); err != nil {
		t.Errorf("complete trail: %v", err)
	}
	for name, records := range map[string][]scenario.AuditRecord{
		"gap":               {record(2), record(4)},
		"duplicate version": append(slices.Clone(complete), record(3)),
		"duplicate ID":      {record(2), record(3), {Version: 4, ID: "2"}},
		"surplus record":    append(slices.Clone(complete), record(5)),
	} {
		if scenario.CheckTrail(records, 4) == nil {
			t.Errorf("%s: CheckTrail returned no error", name)
		}
	}
}
