package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/internal/request/pool"
)

// answering returns a dial function whose connections answer a request with the text, once they have read that many bytes
// of its body, and then close.
func answering(text string, read int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, r.Body, read)
			_, _ = io.WriteString(far, text)
		}()
		return near, nil
	}
}

// answerTo returns the body that the pool passes on for the text that a target answers to an upload, or "failed".
func answerTo(t *testing.T, text string) (got string) {
	synctest.Test(t, func(t *testing.T) {
		p, err := pool.New(pool.Settings{Conns: 4}, answering(text, 1000))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://a/x", strings.NewReader(strings.Repeat("x", 300_000)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := p.Do(t.Context(), pool.Call{Address: "a", Attempt: "1", Request: r})
		var f *pool.Failure
		if errors.As(err, &f) {
			got = "failed"
			return
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if got = string(data); err != nil {
			got = "failed"
		}
	})
	return got
}

// Guards against bytes with a status that HTTP does not define as an answer that reaches a caller, as the answer itself or
// as an interim answer whose successor is taken for the answer.
func TestUndefinedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		head := "HTTP/1.1 " + status + " Trouble\r\n"
		for _, text := range []string{
			head + "Content-Length: 2\r\n\r\nno",
			head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			if got := answerTo(t, text); got != "failed" {
				t.Errorf("status %s: the caller gets %q", status, got)
			}
		}
	}
}

// Guards against a part of an early answer without a length, or of a longer one, that passes for the whole one when the
// target ends the connection while the upload is still being written.
func TestEarlyAnswerCutDuringAnUploadIsNotComplete(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\npart":                                                 "failed",
		"HTTP/1.0 200 OK\r\n\r\npart":                                                 "failed",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart":                            "failed",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n":          "failed",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull":                            "full",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n": "full",
	} {
		if got := answerTo(t, text); got != want {
			t.Errorf("%q: the caller gets %q, want %q", text, got, want)
		}
	}
}

// Guards against interim answers behind which there is no answer to this request: a change of the protocol that was not asked
// for, or answers without end.
func TestUnexpectedInterimAnswersAreRejected(t *testing.T) {
	const rest = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for text, want := range map[string]string{
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + rest: "failed",
		strings.Repeat(interim, 8) + rest:     "ok",
		strings.Repeat(interim, 9) + rest:     "failed",
		strings.Repeat(interim, 1_000) + rest: "failed",
	} {
		if got := answerTo(t, text); got != want {
			t.Errorf("%.60q: the caller gets %q, want %q", text, got, want)
		}
	}
}

// Guards against the answer to a query about an attempt that is believed although HTTP does not define its status: an order
// that was sent would be called not run.
func TestUndefinedStatusProvesNothingAboutAnAttempt(t *testing.T) {
	const proof = " Trouble\r\nContent-Length: 32\r\n\r\n" + `{"state":"dropped","up":1000000}`
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, err := pool.New(pool.Settings{Conns: 4}, answering("HTTP/1.1 "+status+proof, 0))
				if err != nil {
					t.Fatal(err)
				}
				defer p.Close()
				if got := p.CancelAttempt(t.Context(), "a", "1", time.Now()); got != pool.Unreachable || p.InvalidHeadCount() != 1 {
					t.Errorf("state %d, %d invalid heads counted", got, p.InvalidHeadCount())
				}
			})
		})
	}
}

// Guards against the end of the answer to a probe that is taken for the answer to the request behind it: more than one head
// arrives for the probe.
func TestProbeWithMoreThanOneAnswerEndsItsConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nprobe"
	for name, first := range map[string]string{
		"continue":         "HTTP/1.1 100 Continue\r\n\r\n",
		"early hints":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"undefined status": "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"second copy":      answer,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, err := pool.New(pool.Settings{Conns: 4}, func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						br := bufio.NewReader(far)
						for {
							r, err := http.ReadRequest(br)
							if err != nil {
								return
							}
							text := strings.Replace(answer, "probe", "reply", 1)
							if r.URL.Path == "/load" {
								text = first + answer
							}
							_, _ = io.WriteString(far, text)
						}
					}()
					return near, nil
				})
				if err != nil {
					t.Fatal(err)
				}
				defer p.Close()
				for i := range 3 {
					if i > 0 {
						time.Sleep(20 * time.Second)
					}
					r, err := doCall(t.Context(), t, p, pool.Call{ProbeIdle: true})
					if err != nil {
						t.Fatal(err)
					}
					if body, err := io.ReadAll(r.Body); err != nil || string(body) != "reply" {
						t.Errorf("request %d gets %q, %v", i, body, err)
					}
					_ = r.Body.Close()
				}
			})
		})
	}
}
