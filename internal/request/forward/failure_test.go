package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/standin/target"
)

func (r *rig) sendRead(header ...string) reply {
	return r.roundTrip(r.request("GET", "status/a", nil, header...))
}

func (r *rig) sendOnce(header ...string) reply {
	header = append([]string{"Idempotency-Key", "k1"}, header...)
	return r.roundTrip(r.request("POST", "gifts/send", textBody(10), header...))
}

// Guards against a truncated answer that is passed on as complete.
func TestTruncatedAnswer(t *testing.T) {
	runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{TruncateResponses: true})
		if got := r.sendRead(); got.served != "t2" {
			t.Errorf("truncated answer to a read is not retried at another target: %+v", got)
		}
		r.expectReply(r.sendOnce(), 502, verdict.MayHaveRun, verdict.ReasonTruncatedAnswer)
		got := r.roundTrip(r.request("GET", "status/a?size=1000000", nil))
		if got.err == nil {
			t.Errorf("a cut stream of %d bytes appears complete", len(got.body))
		}
		got = r.roundTrip(r.request("POST", "gifts/a?size=1000000", textBody(1), "Idempotency-Key", "k2"))
		if got.err == nil || !r.deduplicator.endedAs(verdict.MayHaveRun, verdict.MayHaveRun) {
			t.Errorf("cut requests ended as %v, error %v", r.deduplicator.ended, got.err)
		}
	})
}

// Guards against an answer that a target cuts in its head or body, at each byte, and that is passed on as complete.
func TestAnswerCutAnywhere(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello"
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		cut := 0
		r.replaceTarget(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
			}
			_, _ = io.WriteString(conn, whole[:cut])
			_ = conn.Close()
		})
		for ; cut <= len(whole); cut++ {
			got := r.sendOnce("Idempotency-Key", fmt.Sprint("cut-", cut))
			if ran := got.status == 200; ran != (cut == len(whole)) {
				t.Errorf("cut after %d of %d bytes: %+v", cut, len(whole), got)
			}
		}
	})
}

// Guards against a late answer that reaches another request or is not counted.
func TestLateAnswer(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{ResponseDelay: 2 * time.Second})
		r.expectReply(r.sendOnce("Timeout", "100"), 504, verdict.MayHaveRun, verdict.ReasonDeadline)
		r.targetServers["t1"].SetFaults(target.Faults{})
		got := r.roundTrip(r.request("GET", "status/next", nil))
		if r.expectReply(got, 200, verdict.Ran, ""); got.body != "t1 GET /next shop\n" {
			t.Errorf("next answer is %q", got.body)
		}
		time.Sleep(3 * time.Second)
		if n := r.counter("gifts.late"); n != 1 {
			t.Errorf("%d late answers counted, want 1", n)
		}
	})
}

// Guards against an undetected connection that delivers no bytes while new connections work.
func TestSilentConnection(t *testing.T) {
	runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
		r.sendRead()
		r.targetServers["t1"].SilenceNext()
		// The target has not received the attempt and will refuse it from now on, which allows another attempt.
		start := time.Now()
		got := r.sendOnce()
		if d := time.Since(start); d > 3*time.Second {
			t.Errorf("the silent connection was detected after %v of simulated time, want 2 s", d)
		}
		if r.expectReply(got, 200, verdict.Ran, ""); got.served != "t2" || !slices.Contains(r.chooser.outcomes, forward.Silent) {
			t.Errorf("served by %s, attempts ended as %v", got.served, r.chooser.outcomes)
		}
		if got = r.sendRead(); got.served != "t1" || r.targetPool.OpenCount(address(1).String()) != 1 {
			t.Errorf("served by %s with %d connections to t1", got.served, r.targetPool.OpenCount(address(1).String()))
		}
		// For an attempt that a target has received, nothing proves that it has not run.
		r.targetServers["t1"].SetFaults(target.Faults{IgnoresDeadlines: true})
		r.targetServers["t1"].SilenceNext()
		r.expectReply(r.sendOnce("Idempotency-Key", "k2"), 504, verdict.MayHaveRun, verdict.ReasonSilent)
	})
}

// Guards against mistaking a slow target for a silent connection.
func TestLongRunIsNotSilence(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{ResponseDelay: 12 * time.Second})
		r.expectReply(r.sendOnce(), 200, verdict.Ran, "")
	})
}

// Guards against an at-most-once request on a connection that failed silently while it was idle: it has one of its own.
func TestOnceRequestsAvoidIdleConnections(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.sendRead()
		time.Sleep(11 * time.Second)
		r.targetServers["t1"].Silence()
		began := time.Now()
		got := r.sendOnce()
		if r.expectReply(got, 200, verdict.Ran, ""); got.served != "t1" || r.targetPool.SilentCount() != 0 || time.Since(began) > time.Second {
			t.Errorf("served by %s after %v and %d silent connections", got.served, time.Since(began), r.targetPool.SilentCount())
		}
	})
}

// Guards against a wrong verdict when a target dies before or after a request was written.
func TestTargetDies(t *testing.T) {
	for name, c := range map[string]struct {
		fault  target.Faults
		gone   bool
		status int
		v      verdict.Verdict
		reason verdict.Reason
		runs   int
	}{
		"not connected":  {gone: true, status: 200, v: verdict.Ran, runs: 1},
		"before the run": {fault: target.Faults{KillBeforeRun: true}, status: 502, v: verdict.MayHaveRun, reason: verdict.ReasonConnect},
		"after the run":  {fault: target.Faults{KillAfterRun: true}, status: 502, v: verdict.MayHaveRun, reason: verdict.ReasonConnect, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
				r.targetServers["t1"].SetFaults(c.fault)
				if c.gone {
					r.targetServers["t1"].Kill()
				}
				got := r.sendOnce()
				r.expectReply(got, c.status, c.v, c.reason)
				if r.totalRuns() != c.runs || len(target.RepeatedOrders(r.targetServers["t1"], r.targetServers["t2"])) > 0 {
					t.Errorf("request ran %d times, want %d", r.totalRuns(), c.runs)
				}
				if n := r.counter("gifts.may-have-run"); (n == 1) != (c.v == verdict.MayHaveRun) {
					t.Errorf("%d requests counted as may-have-run", n)
				}
				if got = r.sendRead(); got.served != "t2" {
					t.Errorf("read is not served by another target: %+v", got)
				}
			})
		})
	}
}

// Guards against the verdict not-run for a read after an attempt that may have run.
func TestVerdictCoversEarlierAttempts(t *testing.T) {
	runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{KillAfterRun: true})
		r.targetServers["t2"].SetFaults(target.Faults{Shedding: true})
		r.expectReply(r.sendRead(), 502, verdict.MayHaveRun, verdict.ReasonShed)
	})
}

// Guards against a request that runs after its deadline, and against a wrong verdict on it.
func TestPassedDeadline(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.expectReply(r.sendOnce("Timeout", "2"), 504, verdict.NotRun, verdict.ReasonDeadline)
		release := r.targetServers["t1"].Hold()
		r.expectReply(r.sendOnce("Timeout", "100"), 504, verdict.NotRun, verdict.ReasonDeadline)
		release()
		synctest.Wait()
		if r.totalRuns() != 0 {
			t.Errorf("%d runs after their deadline", r.totalRuns())
		}
		r.targetServers["t1"].SetFaults(target.Faults{IgnoresDeadlines: true})
		release = r.targetServers["t1"].Hold()
		r.expectReply(r.sendOnce("Timeout", "100"), 504, verdict.MayHaveRun, verdict.ReasonDeadline)
		release()
	})
}

// Guards against a cancelled request that runs later, and against the verdict not-run for one that was running.
func TestCancelledRequest(t *testing.T) {
	for name, want := range map[string]verdict.Verdict{"dropped": verdict.NotRun, "running": verdict.MayHaveRun} {
		t.Run(name, func(t *testing.T) {
			runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
				release := func() {}
				if want == verdict.NotRun {
					release = r.targetServers["t1"].Hold()
				} else {
					r.targetServers["t1"].SetFaults(target.Faults{ResponseDelay: time.Second})
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan reply)
				go func() {
					done <- r.roundTrip(r.request("POST", "gifts/a", textBody(10), "Idempotency-Key", "k1").WithContext(ctx))
				}()
				<-r.targetServers["t1"].Arrivals()
				synctest.Wait()
				cancel()
				<-done
				time.Sleep(100 * time.Millisecond)
				release()
				time.Sleep(2 * time.Second)
				if !r.deduplicator.endedAs(want) || (r.totalRuns() == 0) != (want == verdict.NotRun) {
					t.Errorf("request ended as %v with %d runs", r.deduplicator.ended, r.totalRuns())
				}
			})
		})
	}
}

// Guards against answers that are mixed up between concurrent requests and tenants.
func TestCrossedAnswers(t *testing.T) {
	runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{ResponseDelay: time.Millisecond})
		done := make(chan bool)
		const callers = 6
		for c := range callers {
			go func() {
				defer func() { done <- true }()
				tenant := []string{"shop", "open"}[c%2]
				for i := range 20 {
					path := "/" + string(rune('a'+c)) + string(rune('a'+i))
					// Some callers time out, which must not shift the answers of others.
					got := r.roundTrip(r.request("GET", "status"+path, nil, "Tenant", tenant, "Timeout", []string{"5", "1000"}[i%3%2]))
					if got.verdict == "ran" && got.body != "t1 GET "+path+" "+tenant+"\n" {
						t.Errorf("answer to %s of %s is %q", path, tenant, got.body)
					}
				}
			}()
		}
		for range callers {
			<-done
		}
	})
}

// Guards against unlimited retries when targets fail.
func TestRetryBudget(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{Shedding: true})
		for range 100 {
			r.sendRead()
		}
		if n := r.counter("status.retries"); n < 9 || n > 11 {
			t.Errorf("%d retries for 100 requests, want 10", n)
		}
	})
}

// Guards against a retry budget that accumulates while no target fails and is then spent at once, possibly by all entries together.
func TestRetryBudgetDoesNotAccumulate(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		for range 400 {
			r.sendRead()
		}
		time.Sleep(time.Minute)
		r.targetServers["t1"].SetFaults(target.Faults{Shedding: true})
		const n = 30
		for range n {
			r.sendRead()
		}
		if got := r.counter("status.retries"); got > n/10 {
			t.Errorf("%d retries for %d requests, want %d at most", got, n, n/10)
		}
	})
}

// Guards against a terminated target that exhausts the retry budget, although nothing was sent to it.
func TestRefusedConnectionsUseNoRetryBudget(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].Kill()
		for range 20 {
			r.expectReply(r.sendRead(), 200, verdict.Ran, "")
		}
	})
}

// Guards against relayed requests that add to the retry budget of each entry on their way.
func TestRelayedRequestsAddNoRetryBudget(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.targetServers["t1"].SetFaults(target.Faults{Shedding: true})
		for range 100 {
			r.relayedRead("1", peerToken)
		}
		if n := r.counter("status.retries"); n > 0 {
			t.Errorf("%d retries for relayed requests that another entry accepted from its caller", n)
		}
	})
}
