package propagation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackspool/internal/standin/store"
)

// sampling is how often the number of waiting watches is read.
const sampling = 100 * time.Millisecond

// Run measures each fleet and returns the report; ctx ends it early with an error.
func Run(ctx context.Context, s Settings) (Report, error) {
	s, err := s.check()
	if err != nil {
		return Report{}, err
	}
	var r Report
	for i, n := range s.Sizes {
		faults := []Fault{None}
		if i == 0 && s.Faulty > 0 {
			faults = append(faults, Down, Lossy, Replaced)
		}
		for _, fault := range faults {
			row, err := measure(ctx, s, n, fault)
			if err != nil {
				return r, fmt.Errorf("propagation: %d nodes, fault %s: %w", n, fault, err)
			}
			r.Rows = append(r.Rows, row)
		}
	}
	return r, nil
}

func measure(ctx context.Context, s Settings, nodes int, fault Fault) (Row, error) {
	loss := 0.0
	if fault == Lossy {
		loss = lossRate
	}
	f, err := newFleet(ctx, nodes, s.Seed, loss)
	if err != nil {
		return Row{}, err
	}
	defer f.close()
	time.Sleep(s.Settle)
	row := Row{Nodes: nodes, Fault: fault, Changes: s.Changes}
	if fault != None {
		row.Changes = s.Faulty
		_, err := f.changes(ctx, &row, s.Seed)
		return row, err
	}
	row.Idle = f.count(func() { time.Sleep(s.Window) })
	var took time.Duration
	row.Busy = f.count(func() { took, err = f.changes(ctx, &row, s.Seed) })
	row.Rate = float64(row.Changes) / took.Seconds()
	return row, err
}

// changes makes the row's number of changes, adds their times to it and returns how long all took.
func (f *fleet) changes(ctx context.Context, row *Row, seed uint64) (time.Duration, error) {
	random := rand.New(rand.NewPCG(seed, uint64(row.Nodes)))
	entry, last := histogram(), histogram()
	start := time.Now()
	for range row.Changes {
		times, err := f.change(ctx, row.Fault, random)
		if err != nil {
			return 0, err
		}
		longest := time.Duration(0)
		for _, t := range times {
			if t < 0 {
				row.Missed++
				t = patience
			}
			longest = max(longest, t)
			if err := add(entry, t); err != nil {
				return 0, err
			}
		}
		if err := add(last, longest); err != nil {
			return 0, err
		}
	}
	row.Entry, row.Last = timesOf(entry), timesOf(last)
	took := time.Since(start)
	row.Rate = float64(row.Changes) / took.Seconds()
	return took, nil
}

func add(h *hdrhistogram.Histogram, t time.Duration) error { return h.RecordValue(t.Microseconds()) }

// count returns the store's calls per second while f runs.
func (f *fleet) count(run func()) *Calls {
	before, start := f.platform.store.Counts(), time.Now()
	done, sum := make(chan struct{}), make(chan float64)
	go func() { sum <- waiting(f.platform.store, done) }()
	run()
	close(done)
	seconds, after := time.Since(start).Seconds(), f.platform.store.Counts()
	return &Calls{
		Reads:   float64(after.Reads-before.Reads) / seconds,
		Writes:  float64(after.Writes-before.Writes) / seconds,
		Watches: <-sum,
	}
}

// waiting returns the mean number of waiting watches until done is closed.
func waiting(s *store.Server, done <-chan struct{}) float64 {
	t := time.NewTicker(sampling)
	defer t.Stop()
	total, n := 0.0, 0.0
	for {
		total += float64(s.Counts().WaitingWatches)
		n++
		select {
		case <-t.C:
		case <-done:
			return total / n
		}
	}
}
