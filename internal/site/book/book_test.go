package book_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/site/book"
)

var limits = book.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 1024, HeaderTimeout: time.Second, IdleTimeout: time.Second}

func rule(name, prefix string, change func(*book.RuleFields)) *book.Rule {
	f := book.RuleFields{Name: name, Host: "a", Prefix: prefix, MaxAttempts: 2, TrafficSplit: []book.TrafficShare{{Service: "s", Weight: 1}}}
	if change != nil {
		change(&f)
	}
	return book.NewRule(f)
}

// Guards against a request that gets the rule of a shorter prefix, of another host, or of a prefix that ends within a path segment.
func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	other := rule("other", "/", func(f *book.RuleFields) { f.Host = "b" })
	b, err := book.New(1, []*book.Rule{rule("short", "/x/", nil), rule("long", "/x/y/", nil), other},
		[]book.ServiceFields{{Name: "s"}}, limits)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"},
		{"a", "/x/y/1", "long"},
		{"a", "/x/yz", "short"},
		{"a", "/x", ""},
		{"a", "/z/", ""},
		{"b", "/x/y/", "other"},
		{"c", "/x/", ""},
	} {
		r, ok := b.Find(c.host, c.path)
		if got := ""; ok && r.Name() != c.want || !ok && c.want != got {
			t.Errorf("%s%s: rule %v %v, want %q", c.host, c.path, r, ok, c.want)
		}
	}
}

// Guards against a traffic split whose shares differ from its weights.
func TestServiceFollowsTheWeights(t *testing.T) {
	r := rule("r", "/", func(f *book.RuleFields) {
		f.TrafficSplit = []book.TrafficShare{{Service: "s", Weight: 70}, {Service: "t", Weight: 0}, {Service: "u", Weight: 30}}
	})
	got := make(map[string]int)
	const n = 10_000
	for i := range n {
		got[r.Service((float64(i)+0.5)/n)]++
	}
	if math.Abs(float64(got["s"])/n-0.7) > 0.001 || got["t"] != 0 || math.Abs(float64(got["u"])/n-0.3) > 0.001 {
		t.Errorf("shares %v", got)
	}
}

// Guards against an invalid configuration that is accepted and fails only when a request uses it.
func TestNewNamesWhatCannotBeApplied(t *testing.T) {
	for want, change := range map[string]func(*book.RuleFields){
		"host":     func(f *book.RuleFields) { f.Host = "" },
		"slash":    func(f *book.RuleFields) { f.Prefix = "/x" },
		"attempts": func(f *book.RuleFields) { f.MaxAttempts = 0 },
		"below 0":  func(f *book.RuleFields) { f.Timeout = -1 },
		"weight":   func(f *book.RuleFields) { f.TrafficSplit[0].Weight = 0 },
		"unknown":  func(f *book.RuleFields) { f.TrafficSplit[0].Service = "t" },
	} {
		_, err := book.New(1, []*book.Rule{rule("wrong", "/", change)}, []book.ServiceFields{{Name: "s"}}, limits)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "wrong") {
			t.Errorf("error %v, want one that names the rule and %q", err, want)
		}
	}
	if _, err := book.New(1, nil, nil, book.Limits{}); err == nil {
		t.Error("limits of 0 are accepted")
	}
}
