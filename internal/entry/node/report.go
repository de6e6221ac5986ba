package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"tamarackspool/internal/config/document"
	"tamarackspool/internal/steer/table"
)

const (
	// pollInterval is how often the load of an owned target is polled; reports lose weight after 2 s.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// pollConcurrency is how many targets are polled in parallel.
	pollConcurrency = 16
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 4 << 10
)

// reports holds the newest load report of each owned target.
type reports struct {
	mu     sync.Mutex
	newest map[string]stampedReport
}

// stampedReport is a report with the target's own timestamp, which identifies a repeated report.
type stampedReport struct {
	table.Report
	stamp string
}

func newReports() *reports { return &reports{newest: make(map[string]stampedReport)} }

func (r *reports) list() []table.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]table.Report, 0, len(r.newest))
	for _, d := range r.newest {
		all = append(all, d.Report)
	}
	return all
}

// add stores the report. A report with the same timestamp as the previous one is a repeat
// and keeps the time of its first arrival, whatever the target's clock shows.
func (r *reports) add(d stampedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.newest[d.Target]; ok && d.stamp != "" && old.stamp == d.stamp {
		return
	}
	r.newest[d.Target] = d
}

// retain removes the reports of targets that are no longer owned.
func (r *reports) retain(owned []document.Target) {
	names := make(map[string]bool, len(owned))
	for _, t := range owned {
		names[t.Name()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.newest {
		if !names[name] {
			delete(r.newest, name)
		}
	}
}

// pollLoop polls the load of the owned targets until ctx ends.
func (n *Node) pollLoop(ctx context.Context) {
	every(ctx, pollInterval, func() {
		s := n.snapshot.Load()
		if s == nil {
			return
		}
		owned := s.Owned()
		n.reports.retain(owned)
		var g errgroup.Group
		g.SetLimit(pollConcurrency)
		for _, t := range owned {
			g.Go(func() error {
				n.poll(ctx, t)
				return nil
			})
		}
		_ = g.Wait() // poll returns no error; a target that does not answer has no new report.
	})
}

type loadWire struct {
	Busy    int             `json:"busy"`
	Slots   int             `json:"slots"`
	Leaving bool            `json:"leaving"`
	At      json.RawMessage `json:"at"`
}

func (n *Node) poll(ctx context.Context, t document.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address().String()+"/load", nil)
	if err != nil {
		return
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	var w loadWire
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(data, &w) != nil {
		return
	}
	n.reports.add(stampedReport{
		Report: table.Report{Target: t.Name(), Busy: w.Busy, Slots: w.Slots, Leaving: w.Leaving, At: time.Now()},
		stamp:  string(w.At),
	})
}
