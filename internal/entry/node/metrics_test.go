package node_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// Guards against a metric that docs/METRICS.md omits or lists with the wrong kind, and against a listed metric that
// no entry registers.
func TestMetricsPage(t *testing.T) {
	data, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		if len(cells) != 4 || cells[2] == "" || strings.TrimSpace(cells[3]) == "" {
			t.Fatalf("row %q has no unit or meaning", line)
		}
		page[strings.Trim(cells[0], " `")] = cells[1]
	}
	s := newTestCluster(t)
	a := s.start("e1", "ege-a")
	s.waitServing(a)
	_, _, _, admin := a.Addresses()
	var registered map[string]map[string]json.Number
	if err := json.Unmarshal([]byte(s.callOperator("GET", "http://"+admin+"/metrics", "")), &registered); err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for name, values := range registered {
		for _, service := range []string{"status", "gifts"} {
			name = strings.Replace(name, "."+service+".", ".<service>.", 1)
		}
		seen[name] = true
		field := map[string]string{"counter": "count", "gauge": "value"}[page[name]]
		if _, ok := values[field]; !ok || len(values) != 1 {
			t.Errorf("%s = %v, the page says %q", name, values, page[name])
		}
	}
	for name := range page {
		if !seen[name] {
			t.Errorf("%s is on the page and not registered", name)
		}
	}
}
