package propagation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackspool/internal/standin/store"
)

// sampleInterval is the interval at which the number of waiting watches is read.
const sampleInterval = 100 * time.Millisecond

// Run measures each fleet and returns the report. It returns an error if ctx ends early.
func Run(ctx context.Context, s Settings) (Report, error) {
	s, err := s.check()
	if err != nil {
		return Report{}, err
	}
	var r Report
	for i, n := range s.Sizes {
		faults := []Fault{NoFault}
		if i == 0 && s.Faulty > 0 {
			faults = append(faults, StoreDown, PacketLoss, EntryReplaced)
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
	if fault == PacketLoss {
		loss = lossRate
	}
	f, err := newFleet(ctx, nodes, s.Seed, loss)
	if err != nil {
		return Row{}, err
	}
	defer f.close()
	time.Sleep(s.Settle)
	row := Row{Nodes: nodes, Fault: fault, Changes: s.Changes}
	if fault != NoFault {
		row.Changes = s.Faulty
		_, err := f.makeChanges(ctx, &row, s.Seed)
		return row, err
	}
	row.IdleCalls = f.countCalls(func() { time.Sleep(s.Window) })
	var took time.Duration
	row.BusyCalls = f.countCalls(func() { took, err = f.makeChanges(ctx, &row, s.Seed) })
	row.Rate = float64(row.Changes) / took.Seconds()
	return row, err
}

// makeChanges makes the row's number of changes, stores their times in the row and returns the total duration.
func (f *fleet) makeChanges(ctx context.Context, row *Row, seed uint64) (time.Duration, error) {
	random := rand.New(rand.NewPCG(seed, uint64(row.Nodes)))
	entry, last := newHistogram(), newHistogram()
	start := time.Now()
	for range row.Changes {
		times, err := f.measureChange(ctx, row.Fault, random)
		if err != nil {
			return 0, err
		}
		longest := time.Duration(0)
		for _, t := range times {
			if t < 0 {
				row.Missed++
				t = propagationTimeout
			}
			longest = max(longest, t)
			if err := recordTime(entry, t); err != nil {
				return 0, err
			}
		}
		if err := recordTime(last, longest); err != nil {
			return 0, err
		}
	}
	row.EntryLatencies, row.LastEntryLatencies = latenciesOf(entry), latenciesOf(last)
	took := time.Since(start)
	row.Rate = float64(row.Changes) / took.Seconds()
	return took, nil
}

// recordTime records t in microseconds.
func recordTime(h *hdrhistogram.Histogram, t time.Duration) error {
	return h.RecordValue(t.Microseconds())
}

// countCalls returns the store's calls per second while run executes.
func (f *fleet) countCalls(run func()) *StoreCalls {
	before, start := f.storeServer.store.Counts(), time.Now()
	done, mean := make(chan struct{}), make(chan float64)
	go func() { mean <- meanWaiting(f.storeServer.store, done) }()
	run()
	close(done)
	seconds, after := time.Since(start).Seconds(), f.storeServer.store.Counts()
	return &StoreCalls{
		Reads:   float64(after.Reads-before.Reads) / seconds,
		Writes:  float64(after.Writes-before.Writes) / seconds,
		Watches: <-mean,
	}
}

// meanWaiting samples the number of waiting watches until done is closed and returns the mean.
func meanWaiting(s *store.Server, done <-chan struct{}) float64 {
	t := time.NewTicker(sampleInterval)
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
