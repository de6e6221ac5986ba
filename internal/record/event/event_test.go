package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"tamarackspool/internal/record/event"
)

// Guards against two kinds of events that share a number or a name, and against one without a text for operators.
func TestCatalogueIsUnambiguous(t *testing.T) {
	numbers := map[event.Number]bool{}
	names := map[string]bool{}
	for _, e := range event.Catalogue() {
		if numbers[e.Number()] || names[e.Name()] {
			t.Errorf("duplicate event %d %q", e.Number(), e.Name())
		}
		numbers[e.Number()], names[e.Name()] = true, true
		if e.Meaning() == "" || e.Action() == "" {
			t.Errorf("event %d has no meaning or action", e.Number())
		}
	}
}

// Guards against a log line without its event number or name.
func TestLogWritesNumberAndName(t *testing.T) {
	var out bytes.Buffer
	event.New(log.NewLogfmtLogger(&out)).Log(event.Started, "entry", "marmara-a-1")
	if got := out.String(); !strings.Contains(got, "event=1001 name=started entry=marmara-a-1") {
		t.Errorf("line = %q", got)
	}
}
