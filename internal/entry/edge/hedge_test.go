package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// pair is two targets that share what has arrived. The first copy of a request whose path has "slow" takes long there.
type pair struct {
	usual, slow time.Duration
	// first and second, if set, end the first and the second copy of a slow request.
	first, second func(w http.ResponseWriter)

	mu       sync.Mutex
	arrivals map[string][]string // arrivals lists the targets that a request has arrived at, by its id.
	closed   map[string][]string // closed lists those whose connection was closed before the answer.
	closedIn time.Duration       // closedIn is the time from the last arrival to the last close.
}

// handler returns the handler of the target with the id.
func (p *pair) handler(target string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			return
		}
		id, began := r.Header.Get("X-Request-Id"), time.Now()
		p.mu.Lock()
		n := len(p.arrivals[id])
		p.arrivals[id] = append(p.arrivals[id], target)
		p.mu.Unlock()
		wait, end := p.usual, func(http.ResponseWriter) {}
		if strings.Contains(r.URL.Path, "slow") {
			if n == 0 {
				wait = p.slow
			}
			if ends := []func(http.ResponseWriter){p.first, p.second}; n < len(ends) && ends[n] != nil {
				end = ends[n]
			}
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			p.closed[id] = append(p.closed[id], target)
			p.closedIn = time.Since(began)
			return
		}
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", target)
		end(w)
		_, _ = fmt.Fprintf(w, "%s %s", id, target)
	}
}

func (p *pair) of(id string) (arrivals, closed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals[id], p.closed[id]
}

// runPair runs a test against an entry that sends copies, with two targets of which it knows the usual latency.
func runPair(t *testing.T, share float64, p *pair, config func(f *fleet, version int), test func(f *fleet), header ...string) {
	t.Helper()
	runFleet(t, nil, func(f *fleet) {
		f.hedge = share
		f.start("e0", "a1")
		config(f, 1)
		p.arrivals, p.closed = make(map[string][]string), make(map[string][]string)
		for i, id := range []string{"t1", "t2"} {
			x := &platformtest.Target{ID: id, Service: "s1", Zone: "a1", Slots: 60, StartedMillis: 1, Address: fmt.Sprintf("10.1.1.%d:80", i)}
			f.serve(x.Address, p.handler(id))
			x.Register(f.store, "ready", 0)
		}
		settle()
		var all sync.WaitGroup
		for i := range 50 {
			all.Go(func() {
				for _, c := range []struct{ method, path string }{{"GET", "/r/"}, {"POST", "/o/"}} {
					if got := f.callAs(fmt.Sprint("earn-", c.method, i), "e0", c.method, c.path, append(header, object("x"))...); got.status != http.StatusOK {
						t.Errorf("%s: %v", c.path, got)
					}
				}
			})
		}
		all.Wait()
		test(f)
	})
}

const patient = `,"service":"s1","targetLatencyS":4`

func openRules(f *fleet, version int) {
	f.configure(version, rule("read", "/r/", "safe", patient), rule("order", "/o/", "unsafe", patient))
}

// checkHedges fails the test if the counters of copies differ.
func (f *fleet) checkHedges(sent, won, wasted int) {
	f.t.Helper()
	if s, w, l := f.metric("e0", "hedge.sent"), f.metric("e0", "hedge.won"), f.metric("e0", "hedge.wasted"); s != sent || w != won || l != wasted {
		f.t.Errorf("%d sent, %d won, %d wasted; want %d, %d, %d", s, w, l, sent, won, wasted)
	}
}

// Guards against a second copy that is not sent or does not win, a slower attempt whose connection stays open or whose
// target is held to have failed, and a late answer that reaches a caller.
func TestSecondCopyWinsAndTheOtherIsClosed(t *testing.T) {
	p := &pair{usual: 50 * time.Millisecond, slow: 2 * time.Second}
	runPair(t, 0.2, p, openRules, func(f *fleet) {
		got := f.callAs("late", "e0", "GET", "/r/slow", object("x"))
		arrivals, _ := p.of("late")
		if len(arrivals) != 2 || arrivals[0] == arrivals[1] || got.status != http.StatusOK || got.body != "late "+arrivals[1] || got.took > 200*time.Millisecond {
			t.Fatalf("%v after %v; arrivals %v", got, got.took, arrivals)
		}
		time.Sleep(20 * time.Millisecond)
		if _, closed := p.of("late"); len(closed) != 1 || closed[0] != arrivals[0] || p.closedIn > 200*time.Millisecond {
			t.Errorf("closed %v after %v, want the connection of the slower attempt to %v", closed, p.closedIn, arrivals[0])
		}
		for i := range 10 {
			time.Sleep(300 * time.Millisecond)
			id := fmt.Sprint("after-", i)
			if next := f.callAs(id, "e0", "GET", "/r/", object("x")); !strings.HasPrefix(next.body, id+" ") {
				t.Errorf("a later request: %v", next)
			}
		}
		if f.log.has("name=target-resting") || f.log.has("name=target-slow") || f.log.has("name=request-timed-out") {
			t.Error("the slower attempt was recorded as a failure")
		}
		f.checkHedges(1, 1, 0)
		if f.log.count("name=request-hedged") != 1 || f.metric("e0", "request.s1.repeats") != 1 {
			t.Error("the copy was not logged or not charged to the retry budget once")
		}
	})
}

// Guards against two answers for one request, or a broken connection afterwards, when both attempts answer at once.
func TestBothAttemptsAnswerAtOnce(t *testing.T) {
	for slow := 98 * time.Millisecond; slow <= 106*time.Millisecond; slow += time.Millisecond {
		p := &pair{usual: 50 * time.Millisecond, slow: slow}
		runPair(t, 0.2, p, openRules, func(f *fleet) {
			if got := f.callAs("tie", "e0", "GET", "/r/slow", object("x")); got.status != http.StatusOK || strings.Count(got.body, "tie ") != 1 {
				t.Errorf("%v", got)
			}
			if next := f.callAs("next", "e0", "GET", "/r/", object("x")); !strings.HasPrefix(next.body, "next ") {
				t.Errorf("the next request: %v", next)
			}
		})
	}
}

// Guards against a copy's rejection, error or lost connection that ends a request whose first attempt still runs, and
// against the loss of the copy when the first attempt fails.
func TestOneOfTwoAttemptsFails(t *testing.T) {
	ends := map[string]func(w http.ResponseWriter){
		"rejection": func(w http.ResponseWriter) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"server error":    func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
		"lost connection": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	}
	for name, end := range ends {
		for _, second := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " of the copy ", second), func(t *testing.T) {
				p := &pair{usual: 50 * time.Millisecond, slow: 70 * time.Millisecond, first: end}
				if second {
					p = &pair{usual: 50 * time.Millisecond, slow: time.Second, second: end}
				}
				runPair(t, 0.2, p, openRules, func(f *fleet) {
					got := f.callAs("one", "e0", "GET", "/r/slow", object("x"))
					arrivals, _ := p.of("one")
					if got.status != http.StatusOK || len(arrivals) != 2 || second != (got.body == "one "+arrivals[0]) {
						t.Errorf("%v, arrivals %v", got, arrivals)
					}
					if second {
						f.checkHedges(1, 0, 1)
					} else {
						f.checkHedges(1, 1, 0)
					}
				})
			})
		}
	}
}

// Guards against a caller that gets no answer, or one that says that the request has not run, when both attempts fail.
func TestBothAttemptsFail(t *testing.T) {
	failed := func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }
	lost := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		first, second func(w http.ResponseWriter)
		want          int
	}{{failed, lost, 500}, {lost, failed, 500}, {failed, failed, 500}, {lost, lost, 502}} {
		p := &pair{usual: 50 * time.Millisecond, slow: 70 * time.Millisecond, first: c.first, second: c.second}
		runPair(t, 0.2, p, openRules, func(f *fleet) {
			got := f.callAs("none", "e0", "GET", "/r/slow", object("x"))
			if arrivals, _ := p.of("none"); got.status != c.want || len(arrivals) != 2 {
				t.Errorf("%v, arrivals %v, want %d", got, arrivals, c.want)
			}
		})
	}
}

// Guards against a second copy of an order, and against any copy where they are not asked for.
func TestNoCopyOfOrdersOrWithoutTheSetting(t *testing.T) {
	for _, c := range []struct {
		share        float64
		method, path string
	}{{0.2, "POST", "/o/slow"}, {0, "GET", "/r/slow"}} {
		p := &pair{usual: 50 * time.Millisecond, slow: 2 * time.Second}
		runPair(t, c.share, p, openRules, func(f *fleet) {
			got := f.callAs("only", "e0", c.method, c.path, object("x"))
			if arrivals, _ := p.of("only"); got.status != http.StatusOK || len(arrivals) != 1 || got.took < p.slow {
				t.Errorf("%s with %v: %v after %v, arrivals %v", c.path, c.share, got, got.took, arrivals)
			}
			f.checkHedges(0, 0, 0)
			if f.metric("e0", "hedge.withheld.share") != 0 || f.log.has("name=hedge-withheld") {
				t.Error("a copy was considered")
			}
		})
	}
}

// Guards against an attempt that runs on while the rest of the other one's large answer is passed on, and against a large
// answer that ends with the race.
func TestLargeAnswerOfTheCopy(t *testing.T) {
	part := strings.Repeat("x", 400<<10)
	p := &pair{usual: 50 * time.Millisecond, slow: 2 * time.Second, second: func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, part)
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, part)
	}}
	runPair(t, 0.2, p, openRules, func(f *fleet) {
		got := f.callAs("large", "e0", "GET", "/r/slow", object("x"))
		arrivals, closed := p.of("large")
		if got.status != http.StatusOK || got.err != nil || len(arrivals) != 2 || got.body != part+part+"large "+arrivals[1] || got.took < time.Second {
			t.Fatalf("%d bytes with status %d after %v, %v; arrivals %v", len(got.body), got.status, got.took, got.err, arrivals)
		}
		if len(closed) != 1 || closed[0] != arrivals[0] || p.closedIn > 200*time.Millisecond {
			t.Errorf("closed %v after %v", closed, p.closedIn)
		}
		f.checkHedges(1, 1, 0)
	})
}

// Guards against a second copy with a key that was revoked after the first one was sent.
func TestRevokedKeyStopsTheCopy(t *testing.T) {
	for _, revoked := range []bool{true, false} {
		p := &pair{usual: time.Second, slow: 3 * time.Second}
		keyed := func(f *fleet, version int, keys string) {
			f.configure(version, account("acme", keys, ""), rule("read", "/r/", "safe", `,"service":"s1","targetLatencyS":8`), rule("order", "/o/", "unsafe", patient+`,"public":true`))
		}
		config := func(f *fleet, version int) { keyed(f, version, key("1")+","+key("2")) }
		runPair(t, 0.2, p, config, func(f *fleet) {
			time.AfterFunc(100*time.Millisecond, func() {
				if revoked {
					keyed(f, 2, key("2"))
				}
			})
			got := f.callAs("keyed", "e0", "GET", "/r/slow", object("x"), credential("1"))
			arrivals, _ := p.of("keyed")
			if want := map[bool]int{true: 1, false: 2}[revoked]; got.status != http.StatusOK || len(arrivals) != want {
				t.Errorf("revoked %v: %v, arrivals %v, want %d", revoked, got, arrivals, want)
			}
			if n := f.metric("e0", "hedge.withheld.recheck"); (n == 1) != revoked {
				t.Errorf("revoked %v: %d copies were withheld", revoked, n)
			}
			if revoked != f.log.has("name=hedge-withheld") {
				t.Errorf("revoked %v: wrong log lines", revoked)
			}
		}, credential("1"))
	}
}
