package forward_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/standin/raw"
)

// invalidFields are field lines whose name contains whitespace or a control character.
var invalidFields = []string{
	"Bad Name: x", "Bad : x", " Bad: x", "\tBad: x", "Bad\x01Name: x", "Content-Length : 9", "Transfer-Encoding : chunked", "Verdict : not-run",
}

// Guards against a target's answer that reaches a caller although a field name in its head contains whitespace or a control
// character, and against an order with such an answer that is called not run.
func TestAnswersWithInvalidFieldNamesReachNobody(t *testing.T) {
	for _, line := range invalidFields {
		for name, text := range map[string]string{
			"answer":  "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
			"refusal": "HTTP/1.1 429 Too Many Requests\r\nShed: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
			"interim": "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		} {
			t.Run(fmt.Sprintf("%q, %s", line, name), func(t *testing.T) {
				runRig(t, forward.Settings{Retry: 1}, func(t *testing.T, r *rig) {
					r.replaceTarget(func(w http.ResponseWriter, q *http.Request) {
						if !strings.HasPrefix(q.URL.Path, "/attempt/") {
							raw.Answer(w, text)
						}
					})
					synctest.Wait()
					if got := r.sendRead(); got.status != 200 || got.served != "t2" {
						t.Errorf("a read: %+v, want the answer of t2", got)
					}
					if got := r.sendOnce(); got.status != 502 || got.verdict != verdict.MayHaveRun.String() {
						t.Errorf("an order: %+v", got)
					}
					if !r.log.has("name=target-lost", "to=t1", "invalid head: ") {
						t.Error("no line says why")
					}
					if n := r.targetPool.InvalidHeadCount(); n != 2 || !slices.Contains(r.chooser.outcomes, forward.Failed) {
						t.Errorf("%d invalid heads counted, attempts ended as %v", n, r.chooser.outcomes)
					}
				})
			})
		}
	}
}

// Guards against an entry's answer to a relayed order that is believed although its head is invalid.
func TestRelayedAnswerWithAnInvalidFieldNameProvesNothing(t *testing.T) {
	for _, line := range invalidFields {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
				r.chooser.relayTo, r.chooser.maxRelays = "e2", 1
				r.serve(peerAddress.String(), func(w http.ResponseWriter, q *http.Request) {
					if !strings.HasPrefix(q.URL.Path, "/attempt/") {
						raw.Answer(w, "HTTP/1.1 503 Service Unavailable\r\nVerdict: not-run\r\nReason: shed\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")
					}
				})
				synctest.Wait()
				if got := r.sendOnce(); got.verdict != verdict.MayHaveRun.String() || r.entryPool.InvalidHeadCount() != 1 {
					t.Errorf("%+v, %d invalid heads counted", got, r.entryPool.InvalidHeadCount())
				}
			})
		})
	}
}

// Guards against a rejected answer to a query about an attempt that leaves no line: an order that was called not run, or not,
// could not be explained.
func TestInvalidAnswerToAQueryIsLogged(t *testing.T) {
	const dropped = "Content-Length: 32\r\n\r\n" + `{"state":"dropped","up":1000000}`
	for head, why := range map[string]string{
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n": "byte ' ' in a field name",
		"HTTP/1.1 000 Trouble\r\n":           "undefined status 000",
	} {
		t.Run(why, func(t *testing.T) {
			runRig(t, forward.Settings{Attempts: 1}, func(t *testing.T, r *rig) {
				r.replaceTarget(func(w http.ResponseWriter, q *http.Request) {
					if strings.HasPrefix(q.URL.Path, "/attempt/") {
						raw.Answer(w, head+dropped)
						return
					}
					raw.Answer(w, "HTTP/1.1 200 OK\r\n")
				})
				synctest.Wait()
				got := r.sendOnce()
				if got.verdict != verdict.MayHaveRun.String() || r.targetPool.InvalidHeadCount() != 1 {
					t.Errorf("%+v, %d invalid heads counted", got, r.targetPool.InvalidHeadCount())
				}
				if !r.log.has("name=query-invalid", "address="+address(1).String(), "invalid head: "+why) {
					t.Error("no line says why")
				}
			})
		})
	}
}
