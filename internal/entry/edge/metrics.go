package edge

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tamarackspool/internal/request/upstream"
)

// The outcomes of requests; each has its own counter.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeTimedOut   = "timed-out"
	outcomeCallerLeft = "left"
	outcomeFailed     = "failed"
)

// The size and the decay factor of the exponentially decaying sample behind a latency histogram.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// meters holds the metrics of an entry; it is safe for concurrent use.
type meters struct {
	registry metrics.Registry

	mu              sync.Mutex
	services        map[string]*serviceMeters
	unknownRequests metrics.Counter
	// announcedLeaving counts targets that announced in an answer that they leave, pauses the pauses that targets asked for,
	// and withheld the requests that one of both kept from a target after it was chosen.
	announcedLeaving, pauses, withheld metrics.Counter
	// proofs counts the answers by which targets stated that they did not run a request, unnamedProofs those of them that
	// named no request, and sharedProofs those on a connection that had carried an earlier request.
	proofs, unnamedProofs, sharedProofs metrics.Counter
}

// serviceMeters holds the metrics of one service.
type serviceMeters struct {
	requests metrics.Counter
	retries  metrics.Counter
	outcomes map[string]metrics.Counter
	latency  metrics.Histogram // latency is in microseconds, from the arrival of the request's header to the answer.
}

func newMeters() *meters {
	m := &meters{registry: metrics.NewRegistry(), services: make(map[string]*serviceMeters)}
	m.unknownRequests = metrics.NewRegisteredCounter("request.unknown", m.registry)
	m.announcedLeaving = metrics.NewRegisteredCounter("target.announced-leaving", m.registry)
	m.pauses = metrics.NewRegisteredCounter("target.pauses", m.registry)
	m.withheld = metrics.NewRegisteredCounter("target.withheld", m.registry)
	m.proofs = metrics.NewRegisteredCounter("target.proofs", m.registry)
	m.unnamedProofs = metrics.NewRegisteredCounter("target.proofs-unnamed", m.registry)
	m.sharedProofs = metrics.NewRegisteredCounter("target.proofs-shared", m.registry)
	return m
}

func (m *meters) registerGauge(name string, value func() int64) {
	// Registration fails only for a name that is taken, and each is registered once.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// service returns the metrics of a service, which are registered at its first request.
func (m *meters) service(name string) *serviceMeters {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s != nil {
		return s
	}
	prefix := "request." + name + "."
	s = &serviceMeters{
		requests: metrics.NewRegisteredCounter(prefix+"requests", m.registry),
		retries:  metrics.NewRegisteredCounter(prefix+"repeats", m.registry),
		outcomes: make(map[string]metrics.Counter),
		latency:  metrics.NewRegisteredHistogram(prefix+"latency", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	for _, o := range []string{outcomeAnswered, outcomeRefused, outcomeTimedOut, outcomeCallerLeft, outcomeFailed} {
		s.outcomes[o] = metrics.NewRegisteredCounter(prefix+o, m.registry)
	}
	m.services[name] = s
	return s
}

// countProof counts an answer by which a target stated that it did not run a request.
func (m *meters) countProof(a *upstream.Answer) {
	m.proofs.Inc(1)
	if !a.Named {
		m.unnamedProofs.Inc(1)
	}
	if a.Earlier > 0 {
		m.sharedProofs.Inc(1)
	}
}

// countOutcome counts the outcome of a request and records the latency of an answered one.
func (m *meters) countOutcome(q *requestState, outcome string) {
	if q.service == "" {
		return
	}
	s := m.service(q.service)
	s.outcomes[outcome].Inc(1)
	if outcome == outcomeAnswered {
		s.latency.Update(time.Since(q.Arrived).Microseconds())
	}
}

// ServeHTTP writes one line per metric, the name followed by the value, in the order of names.
func (m *meters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch x := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, x.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, x.Value()))
		case metrics.Histogram:
			h := x.Snapshot()
			lines = append(lines,
				fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.max %d", name, h.Max()),
				fmt.Sprintf("%s.p50 %.0f", name, h.Percentile(0.5)), fmt.Sprintf("%s.p99 %.0f", name, h.Percentile(0.99)))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	b := bufio.NewWriter(w)
	for _, l := range lines {
		_, _ = b.WriteString(l + "\n")
	}
	_ = b.Flush()
}

// registerGauges registers the metrics whose values are read when the page is requested.
func (e *Edge) registerGauges() {
	for name, value := range map[string]func() int64{
		"config.version":     func() int64 { return configurationVersion(e.view.Load()) },
		"entry.connections":  func() int64 { return int64(e.server.OpenConnections()) },
		"entry.peers":        func() int64 { return int64(len(e.view.Load().entries)) },
		"log.dropped":        e.deps.Dropped,
		"peer.received":      e.peerTraffic.Received,
		"peer.sent":          e.peerTraffic.Sent,
		"pool.held":          e.pool.HeldBytes,
		"pool.idle":          e.pool.Idle,
		"pool.invalid":       e.pool.InvalidAnswers,
		"pool.invalid-heads": e.pool.InvalidHeads,
		"pool.opened":        e.pool.Opened,
		"store.age-ms":       func() int64 { return e.follower.Age().Milliseconds() },
		"store.received":     e.deps.StoreTraffic.Received,
		"store.sent":         e.deps.StoreTraffic.Sent,
		"store.revision":     func() int64 { return int64(e.mirror.Revision()) },
	} {
		e.meters.registerGauge(name, value)
	}
	e.registerEraGauges()
}

func configurationVersion(v *view) int64 {
	if v.book == nil {
		return 0
	}
	return int64(v.book.Version())
}
