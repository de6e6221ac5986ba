package forward_test

import (
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/standin/target"
)

// Guards against an answer that is altered in transit, directly or through another entry.
func TestAnswerIsPassedOn(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		got := r.roundTrip(r.request("GET", "status/a%2Fb?q=1", nil))
		r.expectReply(got, 200, verdict.Ran, "")
		if got.body != "t1 GET /a%2Fb?q=1 shop\n" || got.served != "t1" {
			t.Errorf("body %q from %s", got.body, got.served)
		}
		got = r.roundTrip(r.request("POST", "status/echo", textBody(100_000)))
		if r.expectReply(got, 200, verdict.Ran, ""); len(got.body) != 100_000 {
			t.Errorf("echo has %d bytes, want 100000", len(got.body))
		}
		got = r.roundTrip(r.request("POST", "gifts/send", textBody(10), "Idempotency-Key", "k1"))
		if r.expectReply(got, 200, verdict.Ran, ""); !r.deduplicator.endedAs(verdict.Ran) {
			t.Errorf("request ended as %v", r.deduplicator.ended)
		}
		// A repeated request is answered with the recorded outcome.
		got = r.roundTrip(r.request("POST", "gifts/send", textBody(10), "Idempotency-Key", "k1"))
		if r.expectReply(got, 200, verdict.Ran, verdict.ReasonRepeat); r.totalRuns() != 3 || got.body != "xxxxxxxxxx" {
			t.Errorf("%d runs and body %q after a repeat", r.totalRuns(), got.body)
		}
	})
}

// Guards against a shed response that reaches the caller while another target has capacity,
// and against a shed request that is reported as run.
func TestShed(t *testing.T) {
	runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
		r.sendRead()
		r.targetServers["t1"].SetFaults(target.Faults{Shedding: true})
		got := r.roundTrip(r.request("POST", "gifts/send", textBody(10), "Idempotency-Key", "k1"))
		if r.expectReply(got, 200, verdict.Ran, ""); got.served != "t2" {
			t.Errorf("served by %s", got.served)
		}
		got = r.roundTrip(r.request("POST", "status/up", textBody(1_000_000)))
		if r.expectReply(got, 200, verdict.Ran, ""); len(got.body) != 1_000_000 {
			t.Errorf("upload after a shed came back with %d bytes", len(got.body))
		}
		r.targetServers["t2"].SetFaults(target.Faults{Shedding: true})
		r.expectReply(r.roundTrip(r.request("GET", "status/a", nil)), 503, verdict.NotRun, verdict.ReasonShed)
		if n, m := r.counter("status.retries"), r.counter("status.not-run"); n != 3 || m != 1 {
			t.Errorf("%d retries and %d requests not run, want 3 and 1", n, m)
		}
	})
}

// Guards against accepting settings out of their range, and against errors that do not name them.
func TestSettingsAreChecked(t *testing.T) {
	ok := forward.Settings{Name: "e1", Key: "k"}
	if _, err := ok.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(s *forward.Settings){
		"Key":     func(s *forward.Settings) { s.Key = "" },
		"Opening": func(s *forward.Settings) { s.Opening = time.Hour },
		"Header":  func(s *forward.Settings) { s.Header = -1 },
		"Slow":    func(s *forward.Settings) { s.Slow = time.Millisecond },
		"Retry":   func(s *forward.Settings) { s.Retry = 2 },
	} {
		s := ok
		change(&s)
		if _, err := s.Check(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Guards against an entry that has just started and reports a repeated request
// as not run, although it ran through another entry.
func TestRefusalBeforeTheKeyOwnerProvesNothing(t *testing.T) {
	runRig(t, forward.Settings{}, func(_ *testing.T, r *rig) {
		r.doc = nil
		once := r.roundTrip(r.request("POST", "gifts/coin", textBody(1), "Idempotency-Key", "k"))
		r.expectReply(once, 503, verdict.MayHaveRun, verdict.ReasonIsolated)
		read := r.roundTrip(r.request("GET", "status/a", nil))
		r.expectReply(read, 503, verdict.NotRun, verdict.ReasonIsolated)
	})
	runRig(t, forward.Settings{}, func(_ *testing.T, r *rig) {
		late := r.roundTrip(r.request("POST", "gifts/coin", textBody(1), "Idempotency-Key", "k", "Timeout", "0"))
		r.expectReply(late, 400, verdict.MayHaveRun, verdict.ReasonDeadline)
		read := r.roundTrip(r.request("GET", "status/a", nil, "Timeout", "0"))
		r.expectReply(read, 400, verdict.NotRun, verdict.ReasonDeadline)
	})
}
