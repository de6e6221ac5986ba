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
	// pollInterval is how often an owned target is asked for its load; reports lose weight after 2 s.
	pollInterval = 500 * time.Millisecond
	// pollTime bounds one question.
	pollTime = time.Second
	// pollTogether is how many targets are asked at once.
	pollTogether = 16
	// pollLimit bounds the size of a report in bytes.
	pollLimit = 4 << 10
)

// reports holds the newest report of each owned target.
type reports struct {
	mu     sync.Mutex
	newest map[string]dated
}

// dated is a report with the target's own time, by which a repeated report is known.
type dated struct {
	table.Report
	stamp string
}

func newReports() *reports { return &reports{newest: make(map[string]dated)} }

func (r *reports) list() []table.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]table.Report, 0, len(r.newest))
	for _, d := range r.newest {
		all = append(all, d.Report)
	}
	return all
}

// add keeps the report. A report with the time of the previous one is a repeat
// and keeps the age of its first arrival, whatever the target's clock shows.
func (r *reports) add(d dated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.newest[d.Target]; ok && d.stamp != "" && old.stamp == d.stamp {
		return
	}
	r.newest[d.Target] = d
}

// keep forgets the reports of targets that are not owned any more.
func (r *reports) keep(owned []document.Target) {
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

// polling asks the owned targets for their load until ctx ends.
func (n *Node) polling(ctx context.Context) {
	every(ctx, pollInterval, func() {
		s := n.snapshot.Load()
		if s == nil {
			return
		}
		owned := s.Owned()
		n.reports.keep(owned)
		var g errgroup.Group
		g.SetLimit(pollTogether)
		for _, t := range owned {
			g.Go(func() error {
				n.poll(ctx, t)
				return nil
			})
		}
		_ = g.Wait() // A target that does not answer has no fresh report, which is all there is to know.
	})
}

type loadWire struct {
	Busy    int             `json:"busy"`
	Slots   int             `json:"slots"`
	Leaving bool            `json:"leaving"`
	At      json.RawMessage `json:"at"`
}

func (n *Node) poll(ctx context.Context, t document.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, pollLimit))
	var w loadWire
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(data, &w) != nil {
		return
	}
	n.reports.add(dated{
		Report: table.Report{Target: t.Name(), Busy: w.Busy, Slots: w.Slots, Leaving: w.Leaving, At: time.Now()},
		stamp:  string(w.At),
	})
}
