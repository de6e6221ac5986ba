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

// endlessReader is an endless body that counts the bytes read from it.
type endlessReader struct{ bytesRead int }

func (e *endlessReader) Read(p []byte) (int, error) {
	e.bytesRead += len(p)
	return len(p), nil
}

// maxBuffered is how many bytes of one body may be buffered: by two servers and two clients.
const maxBuffered = 512 << 10

// Guards against an upload that is buffered in memory when its target does not read it.
func TestUploadBackPressure(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.stallTarget(func(body io.Reader, _ io.Writer) { _, _ = io.ReadFull(body, make([]byte, 1)) })
		body := &endlessReader{}
		q := r.request("POST", "status/up", body, "Timeout", "1000")
		q.ContentLength = 8 << 20
		done := make(chan reply)
		go func() { done <- r.roundTrip(q) }()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if body.bytesRead == 0 || body.bytesRead > maxBuffered {
			t.Errorf("%d bytes were read from the caller, want 1 to %d", body.bytesRead, maxBuffered)
		}
		<-done
	})
}

// Guards against a download that is buffered in memory when its caller does not read it.
func TestDownloadBackPressure(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		sent := 0
		r.stallTarget(func(_ io.Reader, w io.Writer) {
			for n, err := 0, error(nil); err == nil; sent += n {
				n, err = w.Write(make([]byte, 32<<10))
			}
		})
		resp, err := r.client.RoundTrip(r.request("GET", "status/down", nil, "Timeout", "1000"))
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if sent == 0 || sent > maxBuffered {
			t.Errorf("%d bytes were read from the target, want 1 to %d", sent, maxBuffered)
		}
		_ = resp.Body.Close()
	})
}

// pausingReader pauses once after its first bytes.
type pausingReader struct {
	io.Reader
	pause  time.Duration
	pauses int
}

func (p *pausingReader) Read(b []byte) (int, error) {
	if p.pauses++; p.pauses == 2 {
		time.Sleep(p.pause)
	}
	return p.Reader.Read(b[:min(len(b), 1000)])
}

// Guards against a slow caller that occupies a slot, or holds a connection open indefinitely.
func TestSlowSender(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		q := r.request("POST", "status/a", &pausingReader{Reader: textBody(2000), pause: 20 * time.Second})
		q.ContentLength = 2000
		r.expectReply(r.roundTrip(q), 400, verdict.NotRun, verdict.ReasonBadInput)
		if n := len(r.chooser.requests); n != 0 {
			t.Errorf("a slot was requested %d times", n)
		}
		q = r.request("POST", "gifts/coin", &pausingReader{Reader: textBody(2000), pause: 20 * time.Second}, "Idempotency-Key", "k")
		q.ContentLength = 2000
		r.expectReply(r.roundTrip(q), 400, verdict.MayHaveRun, verdict.ReasonBadInput)
		time.Sleep(time.Minute)
	})
}

// Guards against a caller that stops reading and thereby occupies a slot.
func TestSlowReader(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		resp, err := r.client.RoundTrip(r.request("GET", "status/a?size=8000000", nil, "Timeout", "60000"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(15 * time.Second)
		synctest.Wait()
		if r.chooser.openChoices() != 0 {
			t.Error("the slot is still held")
		}
		_ = resp.Body.Close()
	})
}

// Guards against a body that is cut because the target pauses while it processes it.
func TestPauseWithinABody(t *testing.T) {
	runRig(t, forward.Settings{}, func(t *testing.T, r *rig) {
		r.replaceTarget(func(w http.ResponseWriter, q *http.Request) {
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
		got := r.roundTrip(r.request("POST", "status/a", textBody(1_000_000)))
		if r.expectReply(got, 200, verdict.Ran, ""); len(got.body) != 1_000_000 {
			t.Errorf("%d bytes came back", len(got.body))
		}
	})
}
