package forward_test

import (
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/standin/target"
)

// Guards against an answer that is changed on its way, directly or through another entry.
func TestAnswerIsPassedOn(t *testing.T) {
	run(t, forward.Settings{}, func(t *testing.T, r *rig) {
		got := r.do(r.request("GET", "status/a%2Fb?q=1", nil))
		r.expect(got, 200, verdict.Ran, "")
		if got.body != "t1 GET /a%2Fb?q=1 shop\n" || got.served != "t1" {
			t.Errorf("body %q from %s", got.body, got.served)
		}
		got = r.do(r.request("POST", "status/echo", text(100_000)))
		if r.expect(got, 200, verdict.Ran, ""); len(got.body) != 100_000 {
			t.Errorf("echo has %d bytes, want 100000", len(got.body))
		}
		got = r.do(r.request("POST", "gifts/send", text(10), "Idempotency-Key", "k1"))
		if r.expect(got, 200, verdict.Ran, ""); !r.orders.is(verdict.Ran) {
			t.Errorf("order ended as %v", r.orders.ended)
		}
		// A repeat is answered from the record.
		got = r.do(r.request("POST", "gifts/send", text(10), "Idempotency-Key", "k1"))
		if r.expect(got, 200, verdict.Ran, verdict.ReasonRepeat); r.runs() != 3 || got.body != "xxxxxxxxxx" {
			t.Errorf("%d runs and body %q after a repeat", r.runs(), got.body)
		}
	})
}

// Guards against a shed that reaches the caller while another target has room,
// and against a shed that is reported as run.
func TestShed(t *testing.T) {
	run(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
		r.read()
		r.stand["t1"].Set(target.Faults{Shedding: true})
		got := r.do(r.request("POST", "gifts/send", text(10), "Idempotency-Key", "k1"))
		if r.expect(got, 200, verdict.Ran, ""); got.served != "t2" {
			t.Errorf("served by %s", got.served)
		}
		got = r.do(r.request("POST", "status/up", text(1_000_000)))
		if r.expect(got, 200, verdict.Ran, ""); len(got.body) != 1_000_000 {
			t.Errorf("upload after a shed came back with %d bytes", len(got.body))
		}
		r.stand["t2"].Set(target.Faults{Shedding: true})
		r.expect(r.do(r.request("GET", "status/a", nil)), 503, verdict.NotRun, verdict.ReasonShed)
		if n, m := r.count("status.retries"), r.count("status.not-run"); n != 3 || m != 1 {
			t.Errorf("%d retries and %d requests not run, want 3 and 1", n, m)
		}
	})
}

// Guards against settings out of their range, and errors that do not name them.
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

// Guards against an entry that has just started and tells the caller of a
// repeated order that it has not run, although it ran through another entry.
func TestRefusalBeforeTheHomeProvesNothing(t *testing.T) {
	run(t, forward.Settings{}, func(_ *testing.T, r *rig) {
		r.doc = nil
		order := r.do(r.request("POST", "gifts/coin", text(1), "Idempotency-Key", "k"))
		r.expect(order, 503, verdict.MayHaveRun, verdict.ReasonIsolated)
		read := r.do(r.request("GET", "status/a", nil))
		r.expect(read, 503, verdict.NotRun, verdict.ReasonIsolated)
	})
	run(t, forward.Settings{}, func(_ *testing.T, r *rig) {
		late := r.do(r.request("POST", "gifts/coin", text(1), "Idempotency-Key", "k", "Timeout", "0"))
		r.expect(late, 400, verdict.MayHaveRun, verdict.ReasonDeadline)
		read := r.do(r.request("GET", "status/a", nil, "Timeout", "0"))
		r.expect(read, 400, verdict.NotRun, verdict.ReasonDeadline)
	})
}
