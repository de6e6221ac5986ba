package main

import (
	"bytes"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a usage error that does not end with exit status 2 and a message that names the flag.
func TestUsageErrors(t *testing.T) {
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
		var stdout, stderr bytes.Buffer
		if got := run(t.Context(), strings.Fields(c.args), &stdout, &stderr); got != exitUsage {
			t.Errorf("%s: exit status %d, want %d", c.args, got, exitUsage)
		}
		if !strings.Contains(stderr.String(), c.want) {
			t.Errorf("%s: message %q does not name %s", c.args, stderr.String(), c.want)
		}
	}
}

// panicking is a stream that panics when it is written to.
type panicking struct{}

func (panicking) Write([]byte) (int, error) { panic("broken stream") }

// Guards against a crash that ends with exit status 0: only the exit of the command-line parser may be recovered.
func TestCrashIsNotRecovered(t *testing.T) {
	defer func() {
		if p := recover(); p != "broken stream" {
			t.Errorf("recovered %v, want the panic of the command", p)
		}
	}()
	code := run(t.Context(), []string{"--help"}, panicking{}, io.Discard)
	t.Errorf("a command that panics ends with exit status %d", code)
}

// Guards against an unreachable entry that is reported as success or as an internal error.
func TestUnavailable(t *testing.T) {
	var stdout, stderr bytes.Buffer
	// Port 1 of the loopback address refuses connections.
	args := strings.Fields("status --admin 127.0.0.1:1 --operator-key k")
	if got := run(t.Context(), args, &stdout, &stderr); got != exitUnavailable {
		t.Errorf("exit status %d, want %d: %s", got, exitUnavailable, stderr.String())
	}
}

// Guards against a command that trusts an entry whose certificate no given authority signed, or that sends the token without TLS although --ca is set.
func TestAuthority(t *testing.T) {
	entry := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"entry":"e1"}`) }))
	defer entry.Close()
	entry.Config.ErrorLog = log.New(io.Discard, "", 0)
	file := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: entry.Certificate().Raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	for ca, want := range map[string]int{file: exitDone, "": exitUsage, "none.pem": exitUsage} {
		var stdout, stderr bytes.Buffer
		args := []string{"status", "--json", "--admin", entry.Listener.Addr().String(), "--operator-key", "k", "--ca=" + ca}
		if got := run(t.Context(), args, &stdout, &stderr); got != want {
			t.Errorf("--ca %q: exit status %d, want %d: %s%s", ca, got, want, stdout.String(), stderr.String())
		}
	}
}
