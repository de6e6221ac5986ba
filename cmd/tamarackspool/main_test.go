package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against wrong usage that does not end with exit status 2 and a message that names the flag.
func TestWrongUsage(t *testing.T) {
	for _, c := range []struct {
		args string
		want string
	}{
		{"status --admin 127.0.0.1:1 --operator-key k --colour", "--colour"},
		{"status --admin localhost --operator-key k", "--admin"},
		{"status --operator-key k", "--admin"},
		{"lookup --call 127.0.0.1:1 --client x status", "--client"},
		{"demo --deployment moon", "--deployment"},
		{"drain --admin 127.0.0.1:1 --operator-key k --why w weekly", "--target"},
		{"nothing", "nothing"},
	} {
		var out, problems bytes.Buffer
		if got := run(t.Context(), strings.Fields(c.args), &out, &problems); got != exitUsage {
			t.Errorf("%s: exit status %d, want %d", c.args, got, exitUsage)
		}
		if !strings.Contains(problems.String(), c.want) {
			t.Errorf("%s: message %q does not name %s", c.args, problems.String(), c.want)
		}
	}
}

// Guards against an unreachable entry that is reported as success or as an internal error.
func TestUnavailable(t *testing.T) {
	var out, problems bytes.Buffer
	// Port 1 of the loopback address refuses connections.
	args := strings.Fields("status --admin 127.0.0.1:1 --operator-key k")
	if got := run(t.Context(), args, &out, &problems); got != exitUnavailable {
		t.Errorf("exit status %d, want %d: %s", got, exitUnavailable, problems.String())
	}
}
