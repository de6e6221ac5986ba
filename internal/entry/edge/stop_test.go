package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// Guards against a planned stop under load that resets connections which are established but not accepted yet when
// the listener closes, during an outage of the store as well: every caller gets its answer or a refusal that is true.
func TestPlannedStopAnswersConnectionsInTheBacklog(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.None, platformtest.Silent} {
		runFleet(t, []string{"a1", "a2"}, func(f *fleet) {
			target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.Slots = 40 })
			f.configure(1, rule("book", "/b/", "unsafe", `,"service":"s1"`))
			settle()
			f.store.SetFault(fault)
			f.net.SetAcceptTime(10 * time.Millisecond)
			f.entries["e0"].stop()
			time.Sleep(2400 * time.Millisecond)
			const callers = 30
			answers := make(chan answer, callers)
			for i := range callers {
				go func() { answers <- f.callAs(fmt.Sprint("id-", i), "e0", "POST", "/b/") }()
			}
			answered := 0
			for range callers {
				switch got := <-answers; {
				case got.err != nil:
					t.Errorf("store %v: a caller's connection is cut: %v", fault, got)
				case got.status == http.StatusOK:
					answered++
				case got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "":
					t.Errorf("store %v: %v", fault, got)
				}
			}
			if n := len(target.Runs()); n != answered {
				t.Errorf("store %v: %d requests ran and %d callers have their answer", fault, n, answered)
			}
			<-f.entries["e0"].done
			f.store.SetFault(platformtest.None)
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against a planned stop that passes on requests which come late in the grace period, and cuts them at its end.
func TestRequestsLateInTheGracePeriodAreNotPassedOn(t *testing.T) {
	for _, work := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		runFleet(t, []string{"a1", "a2"}, func(f *fleet) {
			target := f.target("t1", "s1", "a1", func(x *platformtest.Target) { x.Slots = 100; x.ServiceTime = work })
			f.configure(1, rule("read", "/r/", "safe", `,"service":"s1"`), rule("book", "/b/", "unsafe", `,"service":"s1"`))
			settle()
			const callers = 60 // callers of each kind, one every 0.1 s
			answers := make(map[string]answer)
			var mu sync.Mutex
			var running sync.WaitGroup
			began := time.Now().Add(5 * time.Second)
			order := func(id string, send func(id string) answer) {
				running.Go(func() {
					got := send(id)
					mu.Lock()
					defer mu.Unlock()
					answers[id] = got
				})
			}
			for i := range callers {
				at := began.Add(time.Duration(i) * 100 * time.Millisecond)
				order(fmt.Sprint("new", i), func(id string) answer {
					time.Sleep(time.Until(at))
					return f.callAs(id, "e0", "POST", "/b/")
				})
				order(fmt.Sprint("kept", i), func(id string) answer { return f.callKept(id, at, at) })
				order(fmt.Sprint("slow", i), func(id string) answer { return f.callKept(id, at, at.Add(2*time.Second)) })
			}
			time.Sleep(time.Until(began))
			f.entries["e0"].stop()
			running.Wait()
			<-f.entries["e0"].done
			ran := make(map[string]bool)
			for _, r := range target.Runs() {
				ran[r.ID] = true
				if late := r.At.Sub(began); r.Method == http.MethodPost && late > 2600*time.Millisecond {
					t.Errorf("work %v: %s runs %v after the signal", work, r.ID, late)
				}
			}
			for id, got := range answers {
				if ran[id] && got.status != http.StatusOK || !ran[id] && got.err == nil && got.status != http.StatusServiceUnavailable {
					t.Errorf("work %v: %s ran: %v, its caller got %v after %v", work, id, ran[id], got, got.took)
				}
			}
			if len(ran) < 60 {
				t.Errorf("work %v: only %d requests ran", work, len(ran))
			}
		})
	}
}

// callKept sends an order over a connection that has carried a read: its head and its body at the given times.
func (f *fleet) callKept(id string, head, body time.Time) answer {
	c, err := f.connect("e0")
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	br := bufio.NewReader(c)
	exchange := func(parts ...string) answer {
		began := time.Now()
		for i, p := range parts {
			if i > 0 {
				time.Sleep(time.Until(body))
			}
			if _, err := io.WriteString(c, p); err != nil {
				return answer{err: err}
			}
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return answer{err: err}
		}
		text, err := io.ReadAll(resp.Body)
		return answer{status: resp.StatusCode, body: string(text), took: time.Since(began), err: err}
	}
	if got := exchange("GET /r/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: read-" + id + "\r\nX-Deadline-Ms: 5000\r\n\r\n"); got.status != http.StatusOK {
		f.t.Errorf("the read before %s: %v", id, got)
	}
	time.Sleep(time.Until(head))
	return exchange("POST /b/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\nX-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\n", "body")
}
