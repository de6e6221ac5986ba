package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tamarackspool/platform/platformtest"
)

// keyOf begins every key of these tests, so that a log can be searched for all of them.
const keyOf = "sesame-"

func credential(key string) string { return "X-Credential: " + keyOf + key + "\r\n" }

// account returns one client account of the operators' configuration as JSON.
func account(name, keys, rest string) string {
	return fmt.Sprintf(`{"resourceKind":"tenants","metadata":{"name":%q},"spec":{"apiKeys":[%s]%s}}`, name, keys, rest)
}

func key(name string) string { return `"` + keyOf + name + `"` }

var closedAndPublic = []string{
	rule("closed", "/r/", "safe", `,"service":"s1"`), rule("order", "/o/", "unsafe", `,"service":"s1"`),
	rule("open", "/p/", "safe", `,"service":"s1","public":true`),
}

func (f *fleet) configureAccounts(version int, accounts ...string) {
	f.configure(version, append(accounts, closedAndPublic...)...)
}

// recorder is a target that records the headers of its requests, without those of health checks.
type recorder struct {
	mu      sync.Mutex
	headers []http.Header
}

func (x *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.URL.Path != "/healthz" {
		x.headers = append(x.headers, r.Header.Clone())
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Stamp", "t")
}

// take returns the headers recorded since the last call.
func (x *recorder) take() []http.Header {
	x.mu.Lock()
	defer x.mu.Unlock()
	taken := x.headers
	x.headers = nil
	return taken
}

func (f *fleet) record(id, zone string) *recorder {
	x := new(recorder)
	t := &platformtest.Target{ID: id, Service: "s1", Zone: zone, Slots: 3, StartedMillis: 1, Address: fmt.Sprintf("10.1.1.%d:80", len(f.servers))}
	f.serve(t.Address, x)
	t.Register(f.store, "ready", 0)
	return x
}

// checkNoKeyIsLogged fails the test if a log line shows a key.
func (f *fleet) checkNoKeyIsLogged() {
	f.t.Helper()
	if f.log.has(keyOf) {
		f.t.Error("the log has a key")
	}
}

// Guards against a key or a forged account that reaches a target, an account that does not, a request that is sent
// without a valid key, and headers that change in a configuration without accounts.
func TestHeadersOfRequestsWithKeys(t *testing.T) {
	const forged = "x-tenant: forged\r\n"
	runFleet(t, []string{"a1"}, func(f *fleet) {
		x := f.record("t1", "a1")
		f.configureAccounts(1, account("acme", key("1")+","+key("2"), ""), account("gone", "", ""))
		settle()
		for _, c := range []struct {
			path, header string
			status       int
			account      string
		}{
			{"/r/", credential("1"), 200, "acme"},
			{"/o/", "x-credential:" + keyOf + "2 \r\n" + forged, 200, "acme"},
			{"/r/", credential("1") + "Connection: X-Credential, X-Tenant\r\n", 200, "acme"},
			{"/r/", "", 401, ""},
			{"/r/", forged, 401, ""},
			{"/o/", credential("3"), 401, ""},
			{"/r/", credential("1") + credential("1"), 401, ""},
			{"/r/", "X-Credential: \r\n", 401, ""},
			{"/r/", "X-Credential: Bearer " + keyOf + "1\r\n", 401, ""},
			{"/r/", credential(strings.Repeat("1", 5000)), 401, ""},
			{"/p/", "", 200, ""},
			{"/p/", credential("3") + forged, 200, ""},
			{"/p/", credential("1"), 200, ""},
			{"/none/", credential("1"), 404, ""},
			{"/none/", "", 404, ""},
		} {
			method := "GET"
			if c.path == "/o/" {
				method = "POST"
			}
			got, seen := f.call("e0", method, c.path, c.header), x.take()
			if got.status != c.status || got.body != "" || (len(seen) == 1) != (c.status == 200) {
				t.Errorf("%s with %.40q: %v, %d requests at the target", c.path, c.header, got, len(seen))
				continue
			}
			for _, h := range seen {
				if strings.Join(h["X-Tenant"], "|") != c.account || strings.Contains(fmt.Sprint(h), keyOf) {
					t.Errorf("%s with %.40q: the target gets %v", c.path, c.header, h)
				}
			}
		}
		if n := f.log.count("name=request-unauthorized"); n != 7 {
			t.Errorf("%d log lines of unauthorized requests", n)
		}
		f.checkNoKeyIsLogged()
		f.configureAccounts(2)
		settle()
		f.call("e0", "GET", "/r/", credential("9")+forged)
		if seen := x.take(); len(seen) != 1 || seen[0].Get("X-Credential") != keyOf+"9" || seen[0].Get("X-Tenant") != "forged" {
			t.Errorf("without accounts the target gets %v", seen)
		}
	})
}

// Guards against a configuration whose accounts are invalid and that takes effect in part, and against its error, which
// must not show the key.
func TestInvalidAccountsLeaveTheVersionInForce(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.record("t1", "a1")
		f.configureAccounts(1, account("acme", key("1"), ""))
		settle()
		f.configureAccounts(2, account("acme", key("2"), ""), account("other", key("2"), ""))
		settle()
		if first, second := f.call("e0", "GET", "/r/", credential("1")), f.call("e0", "GET", "/r/", credential("2")); first.status != 200 || second.status != 401 {
			t.Errorf("the key in force: %v, the key of the invalid version: %v", first, second)
		}
		if n := f.log.count("name=item-invalid"); n != 1 || !f.log.has("other") {
			t.Errorf("%d log lines of the invalid version, want one that names the account", n)
		}
		f.checkNoKeyIsLogged()
	})
}

// Guards against a request that is judged under one version and sent under another that revoked its key, moved it to
// another account, or has accounts for the first time.
func TestKeysAreCheckedAgainBeforeTheFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []string
		path          string
		status        int
		account       string
	}{
		"revoked":          {[]string{account("acme", key("1"), "")}, []string{account("acme", "", "")}, "/r/", 401, ""},
		"moved":            {[]string{account("acme", key("1"), "")}, []string{account("other", key("1"), "")}, "/r/", 200, "other"},
		"first accounts":   {nil, []string{account("acme", key("1"), "")}, "/r/", 200, "acme"},
		"first, unknown":   {nil, []string{account("acme", key("2"), "")}, "/r/", 401, ""},
		"first, public":    {nil, []string{account("acme", key("2"), "")}, "/p/", 200, ""},
		"no accounts left": {[]string{account("acme", key("1"), "")}, nil, "/r/", 200, "acme"},
	} {
		runFleet(t, []string{"a1"}, func(f *fleet) {
			x := f.record("t1", "a1")
			f.configureAccounts(1, c.before...)
			settle()
			f.net.SetDialTime(fmt.Sprintf("10.1.1.%d:80", len(f.servers)-1), 400*time.Millisecond)
			results := make(chan answer)
			go func() { results <- f.callAs("early", "e0", "GET", c.path, credential("1")) }()
			synctest.Wait()
			f.configureAccounts(2, c.after...)
			got, seen := <-results, x.take()
			if got.status != c.status || (len(seen) == 1) != (c.status == 200) {
				t.Errorf("%s: %v, %d requests at the target", name, got, len(seen))
			}
			for _, h := range seen {
				if h.Get("X-Tenant") != c.account || h.Get("X-Credential") != "" {
					t.Errorf("%s: the target gets %v", name, h)
				}
			}
			f.checkNoKeyIsLogged()
		})
	}
}

// Guards against 401, which says that a request has not run, for one whose key was revoked after an attempt that may
// have run.
func TestNoRequestIsUnauthorizedAfterAnAttempt(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configureAccounts(1, account("acme", key("1"), ""))
		for i := range 2 {
			x := f.target(fmt.Sprint("t", i), "s1", "a1", func(x *platformtest.Target) { x.ServiceTime = time.Second })
			settle()
			if i == 0 {
				for range 60 { // They pay for a retry.
					go f.callAs("earn", "e0", "GET", "/r/", credential("1"))
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
			}
			x.SetBehavior(platformtest.CloseWithoutResponse)
		}
		results := make(chan answer)
		go func() { results <- f.callAs("late", "e0", "GET", "/r/", credential("1")) }()
		time.Sleep(100 * time.Millisecond)
		f.configureAccounts(2, account("acme", "", ""))
		if got := <-results; got.status != http.StatusBadGateway {
			t.Errorf("%v, want 502", got)
		}
	})
}

// Guards against an entry that acts on keys, valid or unknown, although it has not heard from the store for the bound;
// that refuses public rules then; that sends callers to itself; or that does not recover.
func TestKeysAreRefusedWhileTheCopyIsTooOld(t *testing.T) {
	runFleet(t, nil, func(f *fleet) {
		f.revoke = 5 * time.Second
		f.start("e0", "a1")
		f.start("e1", "a2")
		x := f.record("t1", "a1")
		f.configureAccounts(1, account("acme", key("1"), ""))
		settle()
		check := func(when string, closed int, lookup string) {
			for k, want := range map[string]int{"1": closed, "2": max(closed, 401)} {
				got := f.call("e0", "GET", "/r/", credential(k))
				if got.status != want || (want == 503) != (got.header.Get("Retry-After") != "") {
					t.Errorf("%s: key %s: %v, want %d", when, k, got, want)
				}
			}
			if got := f.call("e0", "GET", "/p/"); got.status != http.StatusOK {
				t.Errorf("%s: public rule: %v", when, got)
			}
			if got := f.getPage("e0", 82, "/v1/resolve?name=h&region=a&zone=a1"); !strings.Contains(got.body, lookup) {
				t.Errorf("%s: look-up %v, want %s", when, got, lookup)
			}
		}
		check("at first", 200, `["10.2.0.1:80","10.2.0.2:80"]`)
		f.store.SetFault(platformtest.Busy)
		time.Sleep(2 * time.Second)
		check("shortly after", 200, `["10.2.0.1:80","10.2.0.2:80"]`)
		time.Sleep(6 * time.Second)
		x.take()
		check("beyond the bound", 503, `["10.2.0.2:80"]`)
		if seen := x.take(); len(seen) != 1 {
			t.Errorf("%d requests at the target, want only that of the public rule", len(seen))
		}
		f.store.SetFault(platformtest.None)
		time.Sleep(6 * time.Second)
		check("after the outage", 200, `["10.2.0.1:80","10.2.0.2:80"]`)
		if stale, fresh := f.log.count("name=keys-stale"), f.log.count("name=keys-fresh"); stale != 2 || fresh != 2 {
			t.Errorf("%d log lines of stale and %d of fresh keys, want one for each entry", stale, fresh)
		}
		f.checkNoKeyIsLogged()
	})
}

// Guards against a target outside the home regions of the account that gets its requests, and against a request that
// waits for one when no region is left.
func TestHomeRegionsOfRuleAndAccountBothBind(t *testing.T) {
	runFleet(t, []string{"a1"}, func(f *fleet) {
		f.configure(1, account("a", key("a"), `,"homeRegions":["a"]`), account("b", key("b"), `,"homeRegions":["b"]`), account("c", key("c"), `,"homeRegions":["elsewhere"]`),
			rule("any", "/r/", "safe", `,"service":"s1"`), strings.Replace(rule("home", "/h/", "safe", `,"service":"s1"`), `"homeRegions":[]`, `"homeRegions":["b"]`, 1))
		f.target("t1", "s1", "a1", nil)
		f.target("t2", "s1", "b1", nil)
		settle()
		for i := range 10 {
			for _, c := range []struct{ key, path, want string }{
				{"a", "/r/", "200 t1"},
				{"b", "/r/", "200 t2"},
				{"b", "/h/", "200 t2"},
				{"a", "/h/", "503 "},
				{"c", "/r/", "503 "},
			} {
				if got := f.call("e0", "GET", c.path, credential(c.key), object(fmt.Sprint(i))); !strings.HasPrefix(got.String(), c.want) || got.status == 503 && got.took > 50*time.Millisecond {
					t.Errorf("account %s at %s: %v after %v, want %s", c.key, c.path, got, got.took, c.want)
				}
			}
		}
	})
}
