package forward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
)

// endless is a body without an end that counts what was taken from it.
type endless struct{ taken int }

func (e *endless) Read(p []byte) (int, error) {
	e.taken += len(p)
	return len(p), nil
}

// bound is what may be held of one body: buffers of two servers and two clients.
const bound = 512 << 10

// Guards against an upload that is held in memory when its target does not read it.
func TestUploadIsHeldBackByItsTarget(t *testing.T) {
	run(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.stall(func(body io.Reader, _ io.Writer) { _, _ = io.ReadFull(body, make([]byte, 1)) })
		body := &endless{}
		q := r.request("POST", "status/up", body, "Timeout", "1000")
		q.ContentLength = 8 << 20
		done := make(chan reply)
		go func() { done <- r.do(q) }()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if body.taken == 0 || body.taken > bound {
			t.Errorf("%d bytes were taken from the caller, want 1 to %d", body.taken, bound)
		}
		<-done
	})
}

// Guards against a download that is held in memory when its caller does not read it.
func TestDownloadIsHeldBackByItsCaller(t *testing.T) {
	run(t, forward.Settings{}, func(t *testing.T, r *rig) {
		sent := 0
		r.stall(func(_ io.Reader, w io.Writer) {
			for n, err := 0, error(nil); err == nil; sent += n {
				n, err = w.Write(make([]byte, 32<<10))
			}
		})
		resp, err := r.client.RoundTrip(r.request("GET", "status/down", nil, "Timeout", "1000"))
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if sent == 0 || sent > bound {
			t.Errorf("%d bytes were taken from the target, want 1 to %d", sent, bound)
		}
		_ = resp.Body.Close()
	})
}

// pausing waits once after its first bytes.
type pausing struct {
	io.Reader
	pause  time.Duration
	pauses int
}

func (p *pausing) Read(b []byte) (int, error) {
	if p.pauses++; p.pauses == 2 {
		time.Sleep(p.pause)
	}
	return p.Reader.Read(b[:min(len(b), 1000)])
}

// Guards against a slow caller that holds a slot, or a connection without end.
func TestSlowSender(t *testing.T) {
	run(t, forward.Settings{}, func(t *testing.T, r *rig) {
		q := r.request("POST", "status/a", &pausing{Reader: text(2000), pause: 20 * time.Second})
		q.ContentLength = 2000
		r.expect(r.do(q), 400, verdict.NotRun, verdict.ReasonInput)
		if n := len(r.chooser.requests); n != 0 {
			t.Errorf("a slot was asked for %d times", n)
		}
		q = r.request("POST", "gifts/coin", &pausing{Reader: text(2000), pause: 20 * time.Second}, "Idempotency-Key", "k")
		q.ContentLength = 2000
		r.expect(r.do(q), 400, verdict.MayHaveRun, verdict.ReasonInput)
		time.Sleep(time.Minute)
	})
}

// Guards against a caller that stops reading and keeps a slot.
func TestSlowReader(t *testing.T) {
	run(t, forward.Settings{}, func(t *testing.T, r *rig) {
		resp, err := r.client.RoundTrip(r.request("GET", "status/a?size=8000000", nil, "Timeout", "60000"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		synctest.Wait()
		if r.chooser.open() != 0 {
			t.Error("the slot is still held")
		}
		_ = resp.Body.Close()
	})
}

// Guards against a body that is cut because the other side pauses while it still works on it.
func TestPauseWithinABody(t *testing.T) {
	run(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.replace(func(w http.ResponseWriter, q *http.Request) {
			if strings.HasPrefix(q.URL.Path, "/attempt/") {
				_, _ = io.WriteString(w, `{"state":"running"}`)
				return
			}
			_ = http.NewResponseController(w).EnableFullDuplex()
			n, _ := io.CopyN(w, q.Body, 100_000)
			time.Sleep(8 * time.Second)
			m, _ := io.Copy(w, q.Body)
			if n+m != 1_000_000 {
				t.Errorf("target received %d bytes", n+m)
			}
		})
		got := r.do(r.request("POST", "status/a", text(1_000_000)))
		if r.expect(got, 200, verdict.Ran, ""); len(got.body) != 1_000_000 {
			t.Errorf("%d bytes came back", len(got.body))
		}
	})
}
