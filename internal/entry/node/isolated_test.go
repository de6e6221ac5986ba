package node_test

import "testing"

// Guards against an entry that serves although it has reached neither the store nor a peer,
// or that reports an order as not run although it may have run through another entry.
func TestIsolatedEntryRefuses(t *testing.T) {
	s := newTestCluster(t)
	s.url = "http://127.0.0.1:1"
	a := s.start("e1", "ege-a")
	var read reply
	s.eventually("the entry listens", func() bool {
		read = s.send("GET", a.url("/run/status/x"), "")
		return read.status != 0
	})
	if read.status != 503 || read.verdict != "not-run" || read.reason != "isolated" {
		t.Errorf("read = %+v, want 503 not-run isolated", read)
	}
	if order := s.send("POST", a.url("/run/gifts/x"), "k1"); order.status != 503 || order.verdict != "may-have-run" || order.reason != "isolated" {
		t.Errorf("order = %+v, want 503 may-have-run isolated", order)
	}
}
