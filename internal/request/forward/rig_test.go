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

const peerToken = "peer-token"

// network is an in-memory network without buffers, so that back-pressure takes effect at once.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
}

type memoryListener struct {
	network *network
	address netip.AddrPort
	conns   chan net.Conn
	done    context.Context
	stop    func()
}

func (n *network) listen(at netip.AddrPort) *memoryListener {
	m := &memoryListener{network: n, address: at, conns: make(chan net.Conn)}
	m.done, m.stop = context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[at.String()] = m.conns
	return m
}

func (m *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.done.Done():
		return nil, net.ErrClosed
	}
}

func (m *memoryListener) Close() error {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	if m.done.Err() == nil {
		delete(m.network.listeners, m.address.String())
	}
	m.stop()
	return nil
}

func (m *memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(m.address) }

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	s := n.listeners[address]
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

// rig is one entry with two targets per service; tests may add to it.
type rig struct {
	t             *testing.T
	network       *network
	doc           *document.Document
	forwarder     *forward.Forwarder
	targetPool    *pool.Pool
	entryPool     *pool.Pool
	targetServers map[string]*target.Target
	client        *http.Transport
	metrics       metrics.Registry
	deduplicator  *fakeDeduplicator
	chooser       *chooser
	log           logLines
	wg            sync.WaitGroup
	servers       []*http.Server
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

var peerAddress = netip.MustParseAddrPort("10.0.1.1:80")

func digest(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

// runRig calls test in a synctest bubble with simulated time; the bubble also reports leaked goroutines.
func runRig(t *testing.T, s forward.Settings, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{
			t: t, network: &network{listeners: map[string]chan net.Conn{}}, targetServers: map[string]*target.Target{},
			metrics: metrics.NewRegistry(), deduplicator: &fakeDeduplicator{answers: map[string]forward.RecordedAnswer{}}, chooser: &chooser{},
		}
		r.doc = document.New(document.Fields{
			Services: []document.Service{
				document.NewService(document.ServiceFields{Name: "status", Timeout: 30 * time.Second, MaxTimeout: time.Minute, MaxBodyBytes: 8 << 20}),
				document.NewService(document.ServiceFields{Name: "gifts", AtMostOnce: true, Timeout: 30 * time.Second, MaxTimeout: time.Minute, MaxBodyBytes: 1 << 20}),
			},
			Tenants: []document.Tenant{document.NewTenant("shop", digest("secret"), nil), document.NewTenant("open", "", []string{"status"})},
			Zones:   []document.Zone{document.NewZone("marmara-a", "marmara")},
			Entries: []document.Entry{document.NewEntry(document.EntryFields{Name: "e2", Zone: "marmara-a"})},
		})
		ctx, stop := context.WithCancel(t.Context())
		for i, name := range []string{"t1", "t2"} {
			tt := target.New(target.Settings{Name: name, Slots: 6, Seed: 1, MeanServiceTime: 2 * time.Millisecond})
			r.targetServers[name] = tt
			r.chooser.targets = append(r.chooser.targets, document.NewTarget(document.TargetFields{Name: name, Address: address(i + 1), Slots: 6, MaxConns: 400}))
			l := r.network.listen(address(i + 1))
			r.wg.Go(func() { _ = tt.Serve(ctx, l) })
		}
		r.newForwarder(s)
		r.serve("10.0.2.1:80", r.forwarder.ServeCaller)
		r.serve(peerAddress.String(), r.forwarder.ServePeer)
		r.client = &http.Transport{DialContext: r.network.dial, DisableCompression: true}
		synctest.Wait() // Wait until all servers listen.
		test(t, r)
		r.client.CloseIdleConnections()
		for _, s := range r.servers {
			_ = s.Close()
		}
		stop()
		r.targetPool.Close()
		r.entryPool.Close()
		r.wg.Wait()
		time.Sleep(time.Minute) // The targets' handlers return by themselves.
		if open := r.chooser.openChoices(); open != 0 {
			t.Errorf("%d choices did not get exactly one call of Done", open)
		}
	})
}

func (r *rig) newForwarder(s forward.Settings) {
	s.Name, s.Region, s.Key = "e1", "ege", peerToken
	var err error
	if r.targetPool, err = pool.New(pool.Settings{Events: event.New(log.NewLogfmtLogger(&r.log))}, r.network.dial); err != nil {
		r.t.Fatal(err)
	}
	if r.entryPool, err = pool.New(pool.Settings{Header: forward.PeerHeader(peerToken)}, r.network.dial); err != nil {
		r.t.Fatal(err)
	}
	r.forwarder, err = forward.New(s, forward.Dependencies{
		Chooser: r.chooser, Peers: peers{}, Deduplicator: r.deduplicator, Configuration: r, Links: r.chooser,
		TargetPool: r.targetPool, EntryPool: r.entryPool, Log: event.New(log.NewLogfmtLogger(&r.log)), Metrics: r.metrics, Seed: 1,
		FreeSlots: func(string) (int, bool) { return 7, true },
	})
	if err != nil {
		r.t.Fatal(err)
	}
}

// logLines collects log lines.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// has reports whether a line contains all the parts.
func (l *logLines) has(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			return true
		}
	}
	return false
}

func (r *rig) serve(at string, h http.HandlerFunc) {
	l := r.network.listen(netip.MustParseAddrPort(at))
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	r.wg.Go(func() { _ = s.Serve(l) })
}

// Document returns the configuration of the rig.
func (r *rig) Document() *document.Document { return r.doc }

// request returns a caller's request of tenant shop; header holds alternating names and values, and an empty value removes the header.
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

// reply is a complete response.
type reply struct {
	status                  int
	verdict, reason, served string
	attempt                 string
	body                    string
	err                     error
}

func (r *rig) roundTrip(q *http.Request) reply {
	resp, err := r.client.RoundTrip(q)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{resp.StatusCode, h.Get("Verdict"), h.Get("Reason"), h.Get("Served-By"), h.Get("Attempt"), string(data), err}
}

// expectReply checks status, verdict and reason of a reply.
func (r *rig) expectReply(got reply, status int, v verdict.Verdict, reason verdict.Reason) {
	r.t.Helper()
	if got.err != nil || got.status != status || got.verdict != v.String() || got.reason != string(reason) {
		r.t.Errorf("got %d %s %q, error %v, body %.200q; want %d %v %q", got.status, got.verdict, got.reason, got.err, got.body, status, v, reason)
	}
}

func (r *rig) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("request."+name, r.metrics).Count()
}

func (r *rig) totalRuns() int {
	return len(r.targetServers["t1"].Runs()) + len(r.targetServers["t2"].Runs())
}

// chooser chooses the entry relayTo when one is set and was not tried, otherwise the first target that was not tried.
type chooser struct {
	mu                sync.Mutex
	targets           []document.Target
	relayTo           string
	maxRelays         int // maxRelays is the number of relays after which targets are chosen.
	heldChoices       int
	outcomes          []forward.Outcome
	lastResult        forward.Result
	bytesOut, bytesIn int
	requests          []forward.Request
}

type choice struct {
	chooser *chooser
	target  document.Target
	entry   string
}

func (c *chooser) Choose(_ context.Context, q forward.Request, _ uint64) (forward.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
	if c.relayTo != "" && q.Hops < c.maxRelays && !slices.Contains(q.Avoid, c.relayTo) {
		c.heldChoices++
		return &choice{chooser: c, entry: c.relayTo}, nil
	}
	for _, t := range c.targets {
		if !slices.Contains(q.Avoid, t.Name()) {
			c.heldChoices++
			return &choice{chooser: c, target: t}, nil
		}
	}
	return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoCapacity, 503, nil)
}

func (c *chooser) openChoices() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldChoices
}

func (c *choice) Target() (document.Target, bool) { return c.target, c.entry == "" }
func (c *choice) Entry() string                   { return c.entry }

func (c *choice) Done(r forward.Result) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	c.chooser.heldChoices--
	c.chooser.outcomes = append(c.chooser.outcomes, r.Outcome)
	c.chooser.lastResult = r
}

// Link paces nothing and counts the bytes.
func (c *chooser) Link(string) forward.Pacer { return c }

func (c *chooser) WaitOut(_ context.Context, n int) error { c.bytesOut += n; return nil }
func (c *chooser) WaitIn(_ context.Context, n int) error  { c.bytesIn += n; return nil }

// peers returns the rig's own address for every entry, except for "gone", at whose address nothing listens.
type peers struct{}

func (peers) RelayAddress(entry string) (netip.AddrPort, bool) {
	if entry == "gone" {
		return netip.MustParseAddrPort("10.0.9.9:80"), true
	}
	return peerAddress, true
}

// fakeDeduplicator allows every key to run once and records the outcome of its run.
type fakeDeduplicator struct {
	mu         sync.Mutex
	keyOwner   string
	beginCalls int
	ended      []string
	answers    map[string]forward.RecordedAnswer
}

type fakePermit struct {
	*fakeDeduplicator
	key string
}

func (o *fakeDeduplicator) Begin(_ context.Context, k forward.IdempotencyKey) (forward.Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.beginCalls++
	if owner := o.keyOwner; owner != "" {
		o.keyOwner = ""
		return forward.Grant{KeyOwner: owner}, nil
	}
	if a, ok := o.answers[k.Value]; ok {
		return forward.Grant{Answer: &a}, nil
	}
	return forward.Grant{Permit: fakePermit{o, k.Value}}, nil
}

func (o fakePermit) Finish(a forward.RecordedAnswer) {
	o.Fail(verdict.Ran)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[o.key] = a
}

func (o fakePermit) Fail(v verdict.Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, v.String())
}

func (o *fakeDeduplicator) endedAs(want ...verdict.Verdict) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var texts []string
	for _, v := range want {
		texts = append(texts, v.String())
	}
	return slices.Equal(o.ended, texts)
}

func textBody(n int) io.Reader { return bytes.NewReader([]byte(strings.Repeat("x", n))) }
