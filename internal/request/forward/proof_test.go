package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/standin/target"
)

// Guards against a request that runs and whose caller is told that it has not run, because a late second copy of an
// earlier refusal arrived on the target's connection.
func TestSecondCopyOfARefusalReachesNobody(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"
	runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
		var ran atomic.Int32
		r.replaceTarget(func(w http.ResponseWriter, _ *http.Request) {
			conn, br, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if ran.Load() > 0 {
				ran.Add(1)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return
			}
			ran.Add(1) // Before the refusal: the next request may arrive as soon as that is written.
			_, _ = io.WriteString(conn, refusal)
			if _, err := http.ReadRequest(br.Reader); err == nil {
				ran.Add(1)
				_, _ = io.WriteString(conn, refusal)
			}
		})
		if got := r.sendOnce("Idempotency-Key", "first"); got.verdict != "not-run" {
			t.Errorf("the refused request: %+v", got)
		}
		if got := r.sendOnce("Idempotency-Key", "second"); got.verdict != "ran" || ran.Load() != 2 {
			t.Errorf("the next request: %+v, %d ran", got, ran.Load()-1)
		}
	})
}

// Guards against an order that runs and whose caller is told that it has not: a refusal behind an earlier answer is taken for the order's.
func TestRefusalBehindAnAnswerDoesNotRefuseTheNextOrder(t *testing.T) {
	for name, first := range map[string]func(r *rig) reply{
		"a read":   func(r *rig) reply { return r.roundTrip(r.request("GET", "gifts/a", nil, "Idempotency-Key", "first")) },
		"an order": func(r *rig) reply { return r.sendOnce("Idempotency-Key", "first") },
		"a read of another service at the address": func(r *rig) reply { return r.sendRead() },
	} {
		t.Run(name, func(t *testing.T) {
			runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
				var ran atomic.Int32
				r.replaceTarget(func(w http.ResponseWriter, _ *http.Request) {
					conn, br, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					const success = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
					ran.Add(1)
					_, _ = io.WriteString(conn, success)
					if _, err := http.ReadRequest(br.Reader); err == nil {
						ran.Add(1)
						_, _ = io.WriteString(conn, "HTTP/1.1 429 Too Many Requests\r\nShed: 1\r\nContent-Length: 0\r\n\r\n"+success)
					}
				})
				if got := first(r); got.verdict != "ran" {
					t.Errorf("the first request: %+v", got)
				}
				if got := r.sendOnce("Idempotency-Key", "second"); got.verdict != "ran" || ran.Load() != 2 {
					t.Errorf("the order: %+v, %d ran", got, ran.Load())
				}
			})
		})
	}
}

// Guards against an order that runs and whose caller is told that it has not, by an entry's answer to another attempt.
func TestRelayedAnswerBelongsToItsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		attempt func(own string) string
		want    verdict.Verdict
	}{
		"own":     {func(own string) string { return own }, verdict.NotRun},
		"another": {func(own string) string { return own + "0" }, verdict.MayHaveRun},
		"unnamed": {func(string) string { return "" }, verdict.NotRun}, // Entries of the version before name none.
	} {
		t.Run(name, func(t *testing.T) {
			runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
				r.chooser.relayTo, r.chooser.maxRelays = "e2", 1
				r.serve(peerAddress.String(), func(w http.ResponseWriter, q *http.Request) {
					if id := c.attempt(q.Header.Get("Attempt")); id != "" {
						w.Header().Set("Attempt", id)
					}
					w.Header().Set("Verdict", "not-run")
					w.Header().Set("Reason", "shed")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
				synctest.Wait()
				if got := r.sendOnce(); got.verdict != c.want.String() {
					t.Errorf("%+v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against a relayed answer that does not name its attempt.
func TestRelayedAnswersNameTheirAttempt(t *testing.T) {
	runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
		for _, fault := range []target.Faults{{}, {Shedding: true}} {
			r.targetServers["t1"].SetFaults(fault)
			if got := r.sendRelayed("GET", "/run/status/a", "1", peerToken, fmt.Sprint("x", fault.Shedding)); got.attempt != fmt.Sprint("x", fault.Shedding) {
				t.Errorf("shedding %v: the answer names %q", fault.Shedding, got.attempt)
			}
		}
		if got := r.sendRead(); got.attempt != "" {
			t.Errorf("a caller gets the name %q", got.attempt)
		}
	})
}

// Guards against an order that runs and whose caller is told that it has not, by a process that has replaced its target.
func TestRestartedTargetProvesNothingAboutAnOrder(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": time.Millisecond, "after a while": time.Second} {
		t.Run(name, func(t *testing.T) {
			runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
				time.Sleep(time.Minute)
				var ran atomic.Int32
				restarted := target.New(target.Settings{})
				r.replaceTarget(func(w http.ResponseWriter, q *http.Request) {
					if q.Method == http.MethodDelete {
						restarted.ServeHTTP(w, q)
						return
					}
					ran.Add(1)
					time.Sleep(pause)
					restarted = target.New(target.Settings{})
					panic(http.ErrAbortHandler)
				})
				r.expectReply(r.sendOnce(), 502, verdict.MayHaveRun, verdict.ReasonConnect)
				if ran.Load() != 1 {
					t.Errorf("%d ran", ran.Load())
				}
			})
		})
	}
}
