package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tamarackspool/platform/platformtest"
)

// ownershipTime is how long after the start of the entries their buckets are full.
const ownershipTime = 10 * time.Second

// limited returns an account named a with a key, a rate and a burst.
func limited(rate, burst float64) string {
	return account("a", key("a"), fmt.Sprintf(`,"ratePerS":%v,"burst":%v`, rate, burst))
}

// callQuota sends a request of the account through an entry and returns the answer.
func (f *fleet) callQuota(entry string) answer {
	return f.call(entry, "GET", "/r/", credential("a"))
}

// worstWindow returns the largest number of the times that lie in a window of five seconds.
func worstWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	worst, last := 0, 0
	for first, at := range times {
		for last < len(times) && times[last].Sub(at) <= 5*time.Second {
			last++
		}
		worst = max(worst, last-first)
	}
	return worst
}

// Guards against requests within a quota that are refused on any entry, requests beyond it that run, and a refusal without
// a time to return.
func TestQuotaHoldsOverAllEntries(t *testing.T) {
	zones := []string{"a1", "a2", "a1", "b1", "b1"}
	runFleet(t, zones, func(f *fleet) {
		f.configureAccounts(1, limited(6, 6))
		f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
		time.Sleep(ownershipTime)
		for i := range 200 {
			if got := f.callQuota(fmt.Sprint("e", i%3)); got.status != http.StatusOK {
				t.Errorf("request %d within the quota: %v", i, got)
			}
			time.Sleep(time.Second * 10 / 36)
		}
		calls := f.metric("e0", "quota.calls") + f.metric("e1", "quota.calls") + f.metric("e2", "quota.calls")
		if calls > 400 {
			t.Errorf("%d calls for 200 requests", calls)
		}
		var sent []time.Time
		refused := 0
		for i := range 1000 {
			got := f.callQuota(fmt.Sprint("e", i%len(zones)))
			after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			switch {
			case got.status == http.StatusOK:
				sent = append(sent, time.Now())
			case got.status != http.StatusTooManyRequests || after <= 0 || after > 4:
				t.Errorf("request %d beyond the quota: %v after %v s", i, got, after)
			default:
				refused++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if n := worstWindow(sent); refused < 500 || len(sent) < 100 || n > 59 {
			t.Errorf("%d requests sent, %d refused, %d in the worst window", len(sent), refused, n)
		}
	})
}

// metric returns a value of an entry's metrics.
func (f *fleet) metric(entry, name string) int {
	for line := range strings.Lines(f.getPage(entry, 84, "/metrics").body) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(text))
			return n
		}
	}
	f.t.Errorf("no metric %s", name)
	return 0
}

// Guards against an account whose requests are refused, or are not limited, after an entry that owns its quota has ended, and
// against one that gets 429 although nothing is known of its quota, or waits for long, while no owner can be reached.
func TestQuotaWhenOwnersEnd(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "a1", "b1"}, func(f *fleet) {
		f.configureAccounts(1, limited(10, 10))
		f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
		time.Sleep(ownershipTime)
		var owner string
		for _, e := range []string{"e0", "e1", "e2"} {
			if f.metric(e, "quota.owned") == 1 {
				owner = e
			}
		}
		if owner == "" || f.metric("e3", "quota.owned") != 1 {
			t.Error("a region has no owner")
			return
		}
		asked := map[string]string{"e0": "e1", "e1": "e2", "e2": "e0"}[owner]
		index := f.entries[owner].index
		f.net.SetUnreachable(address(index, 83), true)
		f.net.CloseConns(address(index, 83))
		refused := 0
		for range 100 {
			if got := f.callQuota(asked); got.status != http.StatusOK {
				refused++
			} else if got.took > 400*time.Millisecond {
				t.Errorf("a request waited for %v", got.took)
			}
			time.Sleep(250 * time.Millisecond)
		}
		if refused > 1 {
			t.Errorf("%d requests were refused while the owner of the other region could be reached", refused)
		}
		f.net.SetUnreachable(address(f.entries["e3"].index, 83), true)
		f.net.CloseConns(address(f.entries["e3"].index, 83))
		time.Sleep(5 * time.Second)
		got := f.callQuota(asked)
		after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || after < 0.3 || after > 1 || got.took > time.Second {
			t.Errorf("without an owner: %v after %v s in %v", got, after, got.took)
		}
		if !f.log.has("name=quota-unreachable") {
			t.Error("no log line of the quota that could not be reached")
		}
	})
}

// Guards against an owner that goes on granting without the store, against a second owner that begins before the first has
// stopped, and against a restarted entry that begins with a full bucket: all entries are restarted in turn, while callers send
// more than the quota.
func TestQuotaThroughRestartsAndLossOfTheStore(t *testing.T) {
	runFleet(t, []string{"a1", "a2", "b1", "b1"}, func(f *fleet) {
		f.configureAccounts(1, limited(20, 20))
		f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
		time.Sleep(ownershipTime)
		var sent []time.Time
		load := func(entries []string, d time.Duration) (ok int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, e := range entries {
					if f.callQuota(e).status == http.StatusOK {
						sent = append(sent, time.Now())
						ok++
					}
				}
			}
			return ok
		}
		all := []string{"e0", "e1", "e2", "e3"}
		zones := map[string]string{"e0": "a1", "e1": "a2", "e2": "b1", "e3": "b1"}
		for i, e := range all {
			others := slices.DeleteFunc(slices.Clone(all), func(o string) bool { return o == e })
			load(all, 2*time.Second)
			f.stop(e)
			load(others, time.Duration(i)*2*time.Second)
			f.start(e, zones[e])
			load(others, 3*time.Second)
		}
		if ok := load(all, 10*time.Second); ok < 150 {
			t.Errorf("%d requests sent in 10 s after the restarts", ok)
		}
		f.store.SetFault(platformtest.Busy)
		load(all, 6*time.Second)
		if ok := load(all, 5*time.Second); ok > 0 {
			t.Errorf("%d requests sent without the store", ok)
		}
		f.store.SetFault(platformtest.None)
		load(all, 10*time.Second)
		if n, bound := worstWindow(sent), int((20*5+20)*1.1+20); n > bound {
			t.Errorf("%d requests in a window, want at most %d", n, bound)
		}
	})
}

// Guards against requests that are sent with tokens from before a pause of the process, in addition to those that the owner has
// granted since.
func TestTokensExpireDuringAPause(t *testing.T) {
	runFleet(t, []string{"a1", "a1"}, func(f *fleet) {
		f.configureAccounts(1, limited(10, 10))
		x := f.target("t0", "s1", "a1", nil)
		time.Sleep(ownershipTime)
		f.net.SetDialTime(x.Address, 500*time.Millisecond)
		answers := make(chan answer)
		go func() { answers <- f.callQuota("e0") }()
		time.Sleep(200 * time.Millisecond)
		f.suspended.Add(int64(10 * time.Second))
		if got := <-answers; got.status != http.StatusServiceUnavailable || len(x.Runs()) > 0 {
			t.Errorf("request from before the pause: %v, %d runs", got, len(x.Runs()))
		}
	})
}

// Guards against tokens that are lost with requests that were never sent.
func TestTokensOfUnsentRequestsReturn(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configureAccounts(1, limited(0.2, 1))
		time.Sleep(15 * time.Second) // Two tokens accrue after the registration has been seen for 3 s.
		for range 30 {
			if got := f.callQuota("e0"); got.status == http.StatusTooManyRequests {
				t.Errorf("request to a service without a target: %v", got)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a limit that an owner does not lower with the version in force.
func TestLoweredQuotaTakesEffect(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(f *fleet) {
		f.configureAccounts(1, limited(100, 100))
		f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
		time.Sleep(ownershipTime)
		f.configureAccounts(2, limited(4, 4))
		settle()
		time.Sleep(5 * time.Second)
		var sent []time.Time
		for range 500 {
			if f.callQuota("e0").status == http.StatusOK {
				sent = append(sent, time.Now())
			}
			time.Sleep(20 * time.Millisecond)
		}
		if n, bound := worstWindow(sent), 46; n > bound || len(sent) < 36 {
			t.Errorf("%d requests sent, %d in the worst window, want at most %d", len(sent), n, bound)
		}
	})
}

// Measures the bytes of a call, which docs/CAPACITY.md states.
func TestBytesOfACall(t *testing.T) {
	runFleet(t, []string{"a1", "a1"}, func(f *fleet) {
		f.configureAccounts(1, limited(50, 50))
		f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
		time.Sleep(ownershipTime)
		asking := "e0"
		if f.metric("e0", "quota.owned") == 1 {
			asking = "e1"
		}
		bytes := func() int { return f.metric(asking, "peer.sent") + f.metric(asking, "peer.received") }
		const interval = 20 * time.Second
		began := bytes()
		time.Sleep(interval)
		atRest := bytes() - began
		began, calls := bytes(), f.metric(asking, "quota.calls")
		requests := 0
		for end := time.Now().Add(interval); time.Now().Before(end); requests++ {
			f.callQuota(asking)
			time.Sleep(500 * time.Millisecond)
		}
		calls = f.metric(asking, "quota.calls") - calls
		perCall := (bytes() - began - atRest) / max(calls, 1)
		t.Logf("%d requests, %d calls of %d bytes", requests, calls, perCall)
		if perCall > 200 {
			t.Errorf("a call has %d bytes", perCall)
		}
	})
}

// Guards against a connection for each call, connections that stay open without use, and calls that go on without requests.
func TestConnectionsToOwnersAreSharedAndClosed(t *testing.T) {
	runFleet(t, []string{"a1", "b1"}, func(f *fleet) {
		f.configureAccounts(1, limited(3, 3))
		f.target("t0", "s1", "a1", func(x *platformtest.Target) { x.Slots, x.ServiceTime = 100, time.Millisecond })
		time.Sleep(ownershipTime)
		for range 50 {
			f.callQuota("e0")
			time.Sleep(200 * time.Millisecond)
		}
		if n := f.metric("e0", "quota.connections"); n != 1 {
			t.Errorf("%d connections to one owner", n)
		}
		time.Sleep(time.Second)
		calls := f.metric("e0", "quota.calls")
		time.Sleep(15 * time.Second)
		if after := f.metric("e0", "quota.calls"); after != calls || calls == 0 {
			t.Errorf("%d calls, and %d without requests", calls, after-calls)
		}
		if n := f.metric("e0", "quota.connections"); n != 0 {
			t.Errorf("%d connections are open without use", n)
		}
	})
}
