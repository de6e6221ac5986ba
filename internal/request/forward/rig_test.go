package forward_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/request/forward"
	"tamarackspool/internal/request/pool"
	"tamarackspool/internal/request/verdict"
	"tamarackspool/internal/standin/target"
)

const token = "peer-token"

// network is an in-memory network without buffers, so that back-pressure is exact.
type network struct {
	mu      sync.Mutex
	servers map[string]chan net.Conn
}

type memory struct {
	n     *network
	at    netip.AddrPort
	conns chan net.Conn
	done  context.Context
	stop  func()
}

func (n *network) listen(at netip.AddrPort) *memory {
	m := &memory{n: n, at: at, conns: make(chan net.Conn)}
	m.done, m.stop = context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[at.String()] = m.conns
	return m
}

func (m *memory) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.done.Done():
		return nil, net.ErrClosed
	}
}

func (m *memory) Close() error {
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	if m.done.Err() == nil {
		delete(m.n.servers, m.at.String())
	}
	m.stop()
	return nil
}

func (m *memory) Addr() net.Addr { return net.TCPAddrFromAddrPort(m.at) }

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	s := n.servers[address]
	n.mu.Unlock()
	if s == nil {
		return nil, fmt.Errorf("connection to %s refused", address)
	}
	near, far := net.Pipe()
	select {
	case s <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// rig is one entry with two targets per service, and whatever a test adds.
type rig struct {
	t       *testing.T
	net     *network
	doc     *document.Document
	f       *forward.Forwarder
	targets *pool.Pool
	entries *pool.Pool
	stand   map[string]*target.Target
	client  *http.Transport
	m       metrics.Registry
	orders  *orders
	chooser *chooser
	wait    sync.WaitGroup
	servers []*http.Server
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

var passPort = netip.MustParseAddrPort("10.0.1.1:80")

func digest(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

// run calls test in a bubble of simulated time; the bubble also reports goroutines that are left over.
func run(t *testing.T, s forward.Settings, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{
			t: t, net: &network{servers: map[string]chan net.Conn{}}, stand: map[string]*target.Target{},
			m: metrics.NewRegistry(), orders: &orders{answers: map[string]forward.Answer{}}, chooser: &chooser{},
		}
		r.doc = document.New(document.Fields{
			Services: []document.Service{
				document.NewService(document.ServiceFields{Name: "status", Timeout: 30 * time.Second, Ceiling: time.Minute, Body: 8 << 20}),
				document.NewService(document.ServiceFields{Name: "gifts", Once: true, Timeout: 30 * time.Second, Ceiling: time.Minute, Body: 1 << 20}),
			},
			Tenants: []document.Tenant{document.NewTenant("shop", digest("secret"), nil), document.NewTenant("open", "", []string{"status"})},
			Zones:   []document.Zone{document.NewZone("marmara-a", "marmara")},
			Entries: []document.Entry{document.NewEntry(document.EntryFields{Name: "e2", Zone: "marmara-a"})},
		})
		ctx, stop := context.WithCancel(t.Context())
		for i, name := range []string{"t1", "t2"} {
			tt := target.New(target.Settings{Name: name, Slots: 6, Seed: 1, Mean: 2 * time.Millisecond})
			r.stand[name] = tt
			r.chooser.targets = append(r.chooser.targets, document.NewTarget(document.TargetFields{Name: name, Address: address(i + 1), Slots: 6, Conns: 400}))
			l := r.net.listen(address(i + 1))
			r.wait.Go(func() { _ = tt.Serve(ctx, l) })
		}
		r.build(s)
		r.serve("10.0.2.1:80", r.f.ServeCaller)
		r.serve(passPort.String(), r.f.ServePeer)
		r.client = &http.Transport{DialContext: r.net.dial, DisableCompression: true}
		synctest.Wait() // All servers listen.
		test(t, r)
		r.client.CloseIdleConnections()
		for _, s := range r.servers {
			_ = s.Close()
		}
		stop()
		r.targets.Close()
		r.entries.Close()
		r.wait.Wait()
		time.Sleep(time.Minute) // Handlers of targets end by themselves.
		if open := r.chooser.open(); open != 0 {
			t.Errorf("%d choices were not done exactly once", open)
		}
	})
}

func (r *rig) build(s forward.Settings) {
	s.Name, s.Region, s.Key = "e1", "ege", token
	var err error
	if r.targets, err = pool.New(pool.Settings{}, r.net.dial); err != nil {
		r.t.Fatal(err)
	}
	if r.entries, err = pool.New(pool.Settings{Header: forward.PeerHeader(token)}, r.net.dial); err != nil {
		r.t.Fatal(err)
	}
	r.f, err = forward.New(s, forward.Dependencies{
		Chooser: r.chooser, Peers: peers{}, Orders: r.orders, Configuration: r, Links: r.chooser,
		Targets: r.targets, Entries: r.entries, Log: event.New(log.NewNopLogger()), Metrics: r.m, Seed: 1,
		Free: func(string) (int, bool) { return 7, true },
	})
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) serve(at string, h http.HandlerFunc) {
	l := r.net.listen(netip.MustParseAddrPort(at))
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	r.wait.Go(func() { _ = s.Serve(l) })
}

// Document returns the configuration of the rig.
func (r *rig) Document() *document.Document { return r.doc }

// request returns a caller's request of tenant shop; header is name, value, and so on.
func (r *rig) request(method, path string, body io.Reader, header ...string) *http.Request {
	q, err := http.NewRequestWithContext(r.t.Context(), method, "http://10.0.2.1:80/run/"+path, body)
	if err != nil {
		r.t.Fatal(err)
	}
	q.Header.Set("Tenant", "shop")
	q.Header.Set("Tenant-Key", "secret")
	for i := 0; i < len(header); i += 2 {
		q.Header.Del(header[i])
		if header[i+1] != "" {
			q.Header.Set(header[i], header[i+1])
		}
	}
	return q
}

// reply is a whole response.
type reply struct {
	status                  int
	verdict, reason, served string
	body                    string
	err                     error
}

func (r *rig) do(q *http.Request) reply {
	resp, err := r.client.RoundTrip(q)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{resp.StatusCode, h.Get("Verdict"), h.Get("Reason"), h.Get("Served-By"), string(data), err}
}

// expect checks status, verdict and reason of a reply.
func (r *rig) expect(got reply, status int, v verdict.Verdict, reason verdict.Reason) {
	r.t.Helper()
	if got.err != nil || got.status != status || got.verdict != v.String() || got.reason != string(reason) {
		r.t.Errorf("got %d %s %q, error %v, body %.200q; want %d %v %q", got.status, got.verdict, got.reason, got.err, got.body, status, v, reason)
	}
}

func (r *rig) count(name string) int64 {
	return metrics.GetOrRegisterCounter("request."+name, r.m).Count()
}

func (r *rig) runs() int { return len(r.stand["t1"].Runs()) + len(r.stand["t2"].Runs()) }

// chooser takes the first target that was not tried, or relays to the entry that is set.
type chooser struct {
	mu       sync.Mutex
	targets  []document.Target
	relay    string
	hops     int // hops is the number of relays after which targets are chosen.
	held     int
	kinds    []forward.Kind
	last     forward.Result
	out, in  int
	requests []forward.Request
}

type choice struct {
	c      *chooser
	target document.Target
	entry  string
}

func (c *chooser) Choose(_ context.Context, q forward.Request, _ uint64) (forward.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
	if c.relay != "" && q.Hops < c.hops && !slices.Contains(q.Avoid, c.relay) {
		c.held++
		return &choice{c: c, entry: c.relay}, nil
	}
	for _, t := range c.targets {
		if !slices.Contains(q.Avoid, t.Name()) {
			c.held++
			return &choice{c: c, target: t}, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonRoom, 503, nil)
}

func (c *chooser) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

func (c *choice) Target() (document.Target, bool) { return c.target, c.entry == "" }
func (c *choice) Entry() string                   { return c.entry }

func (c *choice) Done(r forward.Result) {
	c.c.mu.Lock()
	defer c.c.mu.Unlock()
	c.c.held--
	c.c.kinds = append(c.c.kinds, r.Kind)
	c.c.last = r
}

// Link paces nothing and counts the bytes.
func (c *chooser) Link(string) forward.Pacer { return c }

func (c *chooser) WaitOut(_ context.Context, n int) error { c.out += n; return nil }
func (c *chooser) WaitIn(_ context.Context, n int) error  { c.in += n; return nil }

// peers has every entry pass at the rig's own port, or at none.
type peers struct{}

func (peers) Pass(entry string) (netip.AddrPort, bool) {
	if entry == "gone" {
		return netip.MustParseAddrPort("10.0.9.9:80"), true
	}
	return passPort, true
}

// orders grants every key and keeps how its run ended.
type orders struct {
	mu      sync.Mutex
	home    string
	begun   int
	ended   []string
	answers map[string]forward.Answer
}

type oneRun struct {
	*orders
	key string
}

func (o *orders) Begin(_ context.Context, k forward.Key) (forward.Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun++
	if home := o.home; home != "" {
		o.home = ""
		return forward.Grant{Entry: home}, nil
	}
	if a, ok := o.answers[k.Text]; ok {
		return forward.Grant{Answer: &a}, nil
	}
	return forward.Grant{Run: oneRun{o, k.Text}}, nil
}

func (o oneRun) Finish(a forward.Answer) {
	o.Fail(verdict.Ran)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[o.key] = a
}

func (o oneRun) Fail(v verdict.Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, v.String())
}

func (o *orders) is(want ...verdict.Verdict) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var words []string
	for _, v := range want {
		words = append(words, v.String())
	}
	return slices.Equal(o.ended, words)
}

func text(n int) io.Reader { return bytes.NewReader([]byte(strings.Repeat("x", n))) }
