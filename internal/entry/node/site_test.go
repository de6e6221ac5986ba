package node_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/document"
	"tamarackspool/internal/config/history"
	"tamarackspool/internal/entry/node"
	"tamarackspool/internal/entry/setting"
	storeclient "tamarackspool/internal/platform/store"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/standin/store"
	"tamarackspool/internal/standin/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testCluster is a store, two targets and the entries that a test starts.
type testCluster struct {
	t              *testing.T
	store          *store.Server
	url            string
	targets        []*target.Target
	peers          []string
	client         *http.Client
	adjustSettings func(*setting.Raw) // adjustSettings changes the settings of entries before they start; it may be nil
	// adjustDependencies changes the dependencies of entries before they start; it may be nil.
	adjustDependencies func(*node.Dependencies)
}

// runningEntry is a started entry.
type runningEntry struct {
	*node.Node
	call string
	stop func()
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	s := &testCluster{t: t, store: store.New(store.Settings{}), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(s.client.CloseIdleConnections)
	runner, err := store.Listen(t.Context(), "127.0.0.1:0", s.store)
	if err != nil {
		t.Fatal(err)
	}
	s.url = runner.URL()
	s.background(runner.Run)
	f := document.Fields{
		Services: []document.Service{
			document.NewService(document.ServiceFields{Name: "bare", Timeout: 2 * time.Second, MaxTimeout: 5 * time.Second, MaxBodyBytes: 1 << 20, MaxShiftRate: 10}),
			document.NewService(document.ServiceFields{Name: "status", Timeout: 2 * time.Second, MaxTimeout: 5 * time.Second, MaxBodyBytes: 1 << 20, MaxShiftRate: 10}),
			document.NewService(document.ServiceFields{Name: "gifts", AtMostOnce: true, Timeout: 2 * time.Second, MaxTimeout: 5 * time.Second, MaxBodyBytes: 1 << 20, MaxShiftRate: 10}),
		},
		Regions: []document.Region{
			document.NewRegion(document.RegionFields{Name: "ege"}), document.NewRegion(document.RegionFields{Name: "marmara"}),
		},
		Links: []document.Link{document.NewLink("ege", "marmara", 1_000_000)},
		Zones: []document.Zone{
			document.NewZone("ege-a", "ege"), document.NewZone("ege-b", "ege"), document.NewZone("marmara-a", "marmara"),
		},
		Entries: []document.Entry{
			document.NewEntry(document.EntryFields{Name: "e1", Zone: "ege-a"}),
			document.NewEntry(document.EntryFields{Name: "e2", Zone: "ege-b"}),
			document.NewEntry(document.EntryFields{Name: "m1", Zone: "marmara-a"}),
		},
		Tenants: []document.Tenant{document.NewTenant("parents", "", nil)},
	}
	// The only target of each service is in the zone of a different entry, so every entry relays one of the services.
	for service, zone := range map[string]string{"status": "ege-a", "gifts": "ege-b"} {
		f.Targets = append(f.Targets, s.target(service, zone))
	}
	data, err := codec.Encode(document.New(f))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := history.New(history.Settings{Store: storeclient.New(s.url, "", s.client)}).Create(t.Context(), data, nil); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *testCluster) target(service, zone string) document.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	one := target.New(target.Settings{Name: service + "-1", Slots: 4, MeanServiceTime: time.Millisecond})
	s.targets = append(s.targets, one)
	s.background(func(ctx context.Context) error { return one.Serve(ctx, l) })
	return document.NewTarget(document.TargetFields{
		Name: service + "-1", Service: service, Zone: zone, Slots: 4, MaxConns: 100,
		Address: l.Addr().(*net.TCPAddr).AddrPort(),
	})
}

// background runs f until the end of the test or until the returned function is called.
func (s *testCluster) background(f func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f(ctx); err != nil && ctx.Err() == nil {
			s.t.Error(err)
		}
	}()
	stop := func() { cancel(); <-done }
	s.t.Cleanup(stop)
	return stop
}

func (s *testCluster) start(name, zone string) runningEntry {
	s.t.Helper()
	const anyPort = "127.0.0.1:0"
	raw := setting.Raw{
		Name: name, Zone: zone, Region: strings.TrimSuffix(zone, zone[len(zone)-2:]), Call: anyPort, Peer: anyPort, Pass: anyPort, Admin: anyPort, Store: s.url, Peers: s.peers,
		PeerKey: "peer-secret", OperatorKey: "operator-secret-token", StopLimit: time.Minute, LookupTTL: time.Second,
		Retention: time.Hour, MaxOrderKeys: 1000, HeaderLimit: 32 << 10, Seed: 1,
	}
	if s.adjustSettings != nil {
		s.adjustSettings(&raw)
	}
	checked, err := setting.New(raw)
	if err != nil {
		s.t.Fatal(err)
	}
	deps := node.Dependencies{Events: event.New(log.NewLogfmtLogger(s.t.Output()))}
	if s.adjustDependencies != nil {
		s.adjustDependencies(&deps)
	}
	n, err := node.New(s.t.Context(), checked, deps)
	if err != nil {
		s.t.Fatal(err)
	}
	call, peer, _, _ := n.Addresses()
	s.peers = append(s.peers, peer)
	return runningEntry{n, call, s.background(n.Run)}
}

// reply is a response with its body.
type reply struct {
	status          int
	verdict, reason string
	served, body    string
}

func (s *testCluster) send(method, url, key string) reply {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, url, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Tenant", "parents")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return reply{resp.StatusCode, resp.Header.Get("Verdict"), resp.Header.Get("Reason"), resp.Header.Get("Served-By"), string(body)}
}

func (r runningEntry) url(path string) string { return "http://" + r.call + path }

// eventually calls f until it returns true, and fails the test after 600 attempts 25 ms apart.
func (s *testCluster) eventually(what string, f func() bool) {
	s.t.Helper()
	for range 600 {
		if f() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	s.t.Fatalf("timed out waiting: %s", what)
}

// waitServing waits until the entry serves both services.
func (s *testCluster) waitServing(r runningEntry) {
	s.t.Helper()
	s.eventually(r.Name()+" serves reads and orders", func() bool {
		return s.send("GET", r.url("/run/status/x"), "").status == 200 &&
			s.send("POST", r.url("/run/gifts/x"), s.ticket(r)).status == 200
	})
}

func (s *testCluster) ticket(r runningEntry) string {
	s.t.Helper()
	var out struct{ Tickets []string }
	got := s.send("POST", r.url("/ticket?service=gifts"), "")
	if json.Unmarshal([]byte(got.body), &out) != nil || len(out.Tickets) != 1 {
		return ""
	}
	return out.Tickets[0]
}

// executions returns how many times the order ran if it ran more than once, and 0 otherwise.
func (s *testCluster) executions(key string) int {
	return target.RepeatedOrders(s.targets...)[target.Order{Tenant: "parents", Key: key}]
}
