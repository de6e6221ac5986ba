package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
)

// stallTarget replaces target t1 by a handler that calls f and then blocks until the request ends.
func (r *rig) stallTarget(f func(body io.Reader, w io.Writer)) {
	r.replaceTarget(func(w http.ResponseWriter, q *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		f(q.Body, w)
		select {
		case <-q.Context().Done():
		case <-time.After(10 * time.Second):
		}
		panic(http.ErrAbortHandler)
	})
}

// replaceTarget replaces target t1 by a handler.
func (r *rig) replaceTarget(h http.HandlerFunc) {
	r.targetServers["t1"].Kill()
	r.serve(address(1).String(), h)
}

// Guards against forwarding requests of unknown, forged or ambiguous tenants, and other
// invalid input, to a target.
func TestBadInput(t *testing.T) {
	runRig(t, forward.Settings{Header: 4 << 10}, func(t *testing.T, r *rig) {
		for name, c := range map[string]struct {
			path   string
			header []string
			status int
			want   string
		}{
			"missing tenant":      {"status/a", []string{"Tenant", ""}, 401, "Tenant"},
			"unknown tenant":      {"status/a", []string{"Tenant", "other"}, 401, "other"},
			"missing key":         {"status/a", []string{"Tenant-Key", ""}, 403, "Tenant-Key"},
			"forged key":          {"status/a", []string{"Tenant-Key", "secreT"}, 403, "Tenant-Key"},
			"digest as key":       {"status/a", []string{"Tenant-Key", digest("secret")}, 403, "Tenant-Key"},
			"foreign service":     {"gifts/a", []string{"Tenant", "open", "Idempotency-Key", "k"}, 403, "gifts"},
			"unknown service":     {"other/a", nil, 404, "other"},
			"request without key": {"gifts/a", nil, 400, "Idempotency-Key"},
			"key too long":        {"gifts/a", []string{"Idempotency-Key", strings.Repeat("k", 129)}, 400, "128"},
			"key with a space":    {"gifts/a", []string{"Idempotency-Key", "a b"}, 400, "visible ASCII"},
			"timeout too long":    {"status/a", []string{"Timeout", "60001"}, 400, "1 to 60000 ms"},
			"timeout no number":   {"status/a", []string{"Timeout", "soon"}, 400, "1 to 60000 ms"},
			"internal Hop":        {"status/a", []string{"Hop", "1"}, 400, "Hop"},
			"internal Home":       {"status/a", []string{"Home", "ege"}, 400, "Home"},
			"internal Attempt":    {"status/a", []string{"Attempt", "x"}, 400, "Attempt"},
			"internal Granted":    {"gifts/a", []string{"Granted", "1", "Idempotency-Key", "k"}, 400, "Granted"},
			"header too large":    {"status/a", []string{"Filler", strings.Repeat("f", 4<<10)}, 431, "4096"},
		} {
			got := r.roundTrip(r.request("POST", c.path, textBody(1), c.header...))
			if got.status != c.status || got.verdict != "not-run" || !strings.Contains(got.body, c.want) {
				t.Errorf("%s: got %d %s %q, want %d with %q", name, got.status, got.verdict, got.body, c.status, c.want)
			}
		}
		if r.totalRuns() != 0 {
			t.Errorf("%d bad requests ran", r.totalRuns())
		}
	})
}

// Guards against bodies beyond the limit of their service, with and without Content-Length.
func TestOversizedBody(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		got := r.roundTrip(r.request("POST", "status/up", textBody(8<<20+1)))
		if r.expectReply(got, 413, verdict.NotRun, verdict.ReasonBadInput); r.totalRuns() != 0 {
			t.Errorf("%d runs", r.totalRuns())
		}
		q := r.request("POST", "status/up", io.LimitReader(&endlessReader{}, 8<<20+1))
		q.ContentLength = -1
		if got = r.roundTrip(q); got.err == nil && got.verdict == "ran" {
			t.Errorf("a chunked body beyond the limit was served: %+v", got)
		}
	})
}

// Guards against request smuggling and against callers' headers that control this entry or the target.
func TestHeaderSmuggling(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		var seen []*http.Request
		r.replaceTarget(func(_ http.ResponseWriter, q *http.Request) {
			data, _ := io.ReadAll(q.Body)
			q.Pattern = string(data)
			seen = append(seen, q)
		})
		const head = " /run/status/a HTTP/1.1\r\nHost: x\r\nTenant: shop\r\nTenant-Key: secret\r\n"
		for name, c := range map[string]struct {
			rest   string
			status int
		}{
			"both lengths":     {"POST" + head + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200},
			"two lengths":      {"POST" + head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400},
			"two tenants":      {"POST" + head + "Tenant: open\r\nContent-Length: 2\r\n\r\nab", 400},
			"named hop header": {"POST" + head + "Connection: Secret-Hop, Tenant\r\nSecret-Hop: 1\r\nFree: 9\r\nContent-Length: 2\r\n\r\nab", 200},
			"other encoding":   {"POST" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		} {
			seen = nil
			conn, err := r.network.dial(t.Context(), "tcp", "10.0.2.1:80")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = io.WriteString(conn, c.rest) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("%s: %v, %+v", name, err, resp)
			}
			_ = conn.Close()
			if got := fmt.Sprint(len(seen)); (got == "1") != (c.status == 200) || len(seen) > 1 {
				t.Errorf("%s: target saw %s requests", name, got)
			}
			for _, q := range seen {
				h := q.Header
				if q.Pattern != "ab" || h.Get("Tenant") != "shop" || h.Get("Secret-Hop")+h.Get("Tenant-Key")+h.Get("Peer-Key")+h.Get("Free") != "" {
					t.Errorf("%s: target saw body %q and %v", name, q.Pattern, h)
				}
			}
		}
	})
}

func (r *rig) relayedRead(hop, key string) reply {
	return r.sendRelayed("GET", "/run/status/a", hop, key, "")
}

func (r *rig) sendRelayed(method, path, hop, key, id string) reply {
	q := r.request(method, "", nil, "Hop", hop, "Peer-Key", key, "Attempt", id)
	q.URL.Host, q.URL.Path = peerAddress.String(), path
	return r.roundTrip(q)
}

// Guards against relay loops between entries.
func TestRelayLoop(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.expectReply(r.relayedRead("4", peerToken), 503, verdict.NotRun, verdict.ReasonTooManyHops)
		r.chooser.relayTo, r.chooser.maxRelays, r.chooser.targets = "e2", 9, nil
		r.expectReply(r.roundTrip(r.request("POST", "status/a", textBody(1))), 503, verdict.NotRun, verdict.ReasonTooManyHops)
		if q := r.chooser.requests; q[3].Hops != 3 {
			t.Errorf("requested choices are %+v, want 3 hops in the fourth", q)
		}
		r.chooser.relayTo = "gone"
		r.expectReply(r.relayedRead("3", peerToken), 503, verdict.NotRun, verdict.ReasonTooManyHops)
	})
}

// Guards against querying the idempotency key a second time at the entry that owns
// the target, and against sending the peer token to a target.
func TestOnceRequestThroughTheTargetOwner(t *testing.T) {
	runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
		r.chooser.relayTo, r.chooser.maxRelays = "e2", 1
		r.expectReply(r.sendOnce(), 200, verdict.Ran, "")
		if r.deduplicator.beginCalls != 1 || !r.chooser.requests[1].LocalOnly {
			t.Errorf("key was queried %d times; the target's owner requested the choice %+v", r.deduplicator.beginCalls, r.chooser.requests[1])
		}
		if l := r.chooser.lastResult; !l.FreeKnown || l.FreeSlots != 7 {
			t.Errorf("the owner's free slots were not reported: %+v", l)
		}
		var seen http.Header
		r.replaceTarget(func(_ http.ResponseWriter, q *http.Request) { seen = q.Header })
		r.chooser.relayTo = "gone"
		r.expectReply(r.sendOnce("Idempotency-Key", "k2"), 200, verdict.Ran, "")
		if seen.Get("Peer-Key")+seen.Get("Granted")+seen.Get("Hop") != "" || seen.Get("Idempotency-Key") != "k2" {
			t.Errorf("target saw %v", seen)
		}
	})
}

// Guards against accepting responses whose end cannot be determined, and against endless headers.
func TestMalformedResponse(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		var raw string
		r.replaceTarget(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
			}
			_, _ = io.WriteString(conn, raw)
			_ = conn.Close()
		})
		for name, text := range map[string]string{
			"no length":      "HTTP/1.1 200 OK\r\n\r\nhalf",
			"endless header": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: " + strings.Repeat("a", 100<<10) + "\r\n\r\n",
			"bad chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		} {
			raw = text
			got := r.sendOnce("Idempotency-Key", strings.ReplaceAll(name, " ", "-"))
			if got.status != 502 || got.verdict != "may-have-run" {
				t.Errorf("%s: got %+v", name, got)
			}
		}
	})
}

// Guards against accepting relayed requests without the peer token.
func TestForgedPeer(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.expectReply(r.relayedRead("1", peerToken+"x"), 403, verdict.NotRun, verdict.ReasonBadInput)
		r.expectReply(r.relayedRead("1", ""), 403, verdict.NotRun, verdict.ReasonBadInput)
		r.expectReply(r.relayedRead("", peerToken), 400, verdict.NotRun, verdict.ReasonBadInput)
		r.expectReply(r.relayedRead("1", peerToken), 200, verdict.Ran, "")
	})
}

// Guards against a relayed attempt that runs after it was cancelled, or twice.
func TestRelayedAttemptArrivesLateOrTwice(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		get := func(id string) reply { return r.sendRelayed("GET", "/run/status/a", "1", peerToken, id) }
		if got := r.sendRelayed("DELETE", "/attempt/x", "1", peerToken, ""); got.body != `{"state":"dropped","up":0}` {
			t.Errorf("DELETE: %s", got.body)
		}
		r.expectReply(get("x"), 503, verdict.NotRun, verdict.ReasonCancelled)
		r.expectReply(get("y"), 200, verdict.Ran, "")
		r.expectReply(get("y"), 502, verdict.MayHaveRun, verdict.ReasonRepeat)
		if r.totalRuns() != 1 {
			t.Errorf("%d runs, want 1", r.totalRuns())
		}
	})
}

// Guards against running an at-most-once request without its key's owner, and against
// the verdict not-run when that owner cannot be reached.
func TestOnceRequestGoesToTheKeyOwner(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.deduplicator.keyOwner = "e2"
		r.expectReply(r.sendOnce(), 200, verdict.Ran, "")
		if !r.deduplicator.endedAs(verdict.Ran) || r.totalRuns() != 1 || r.chooser.bytesOut != 10 || r.chooser.bytesIn != 10 {
			t.Errorf("request ended as %v in %d runs, link %d and %d bytes", r.deduplicator.ended, r.totalRuns(), r.chooser.bytesOut, r.chooser.bytesIn)
		}
		if q := r.chooser.requests[0]; q.Hops != 1 || q.HomeRegion != "ege" || q.LocalOnly {
			t.Errorf("the key owner requested the choice %+v", q)
		}
		r.deduplicator.keyOwner = "gone"
		r.expectReply(r.sendOnce("Idempotency-Key", "k2"), 502, verdict.MayHaveRun, verdict.ReasonConnect)
	})
}
