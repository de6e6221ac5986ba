package edge_test

import (
	"os"
	"strings"
	"testing"
)

// Guards against a metric that the documentation lacks, or lists although no entry serves it.
func TestMetricsPage(t *testing.T) {
	data, err := os.ReadFile("../../../docs/EDGE.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(data), "## Metrics")
	page := make(map[string]bool)
	for line := range strings.Lines(table) {
		if name, _, ok := strings.Cut(strings.TrimPrefix(line, "| `"), "` |"); ok && strings.HasPrefix(line, "| `") {
			page[name] = true
		}
	}
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`))
		f.target("t1", "s1", "a1", nil)
		settle()
		f.call("e0", "GET", "/r/")
		f.call("e0", "GET", "/r/")
		text := f.getPage("e0", 84, "/metrics").body
		if !strings.Contains(text, "\nrequest.s1.answered 2\n") || !strings.Contains(text, "\nrequest.s1.latency.count 2\n") {
			t.Errorf("metrics after two requests:\n%s", text)
		}
		for line := range strings.Lines(text) {
			name, _, _ := strings.Cut(line, " ")
			name = strings.Replace(name, ".s1.", ".<service>.", 1)
			if !page[name] {
				t.Errorf("%s is not documented", name)
			}
			delete(page, name)
		}
		for name := range page {
			t.Errorf("%s is documented but not served", name)
		}
	})
}
