package forward

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// workers is the number of callers while work per request is measured.
const workers = 32

// cost is the work of one phase.
type cost struct {
	cpu    time.Duration
	allocs uint64
	bytes  uint64
	calls  float64
}

func usage() (time.Duration, runtime.MemStats) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0, m
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), m
}

func phase(all []*pair, s Settings, c func(*pair) *caller) (cost, error) {
	cpu, m := usage()
	_, err := each(all, s.Length, busy(c))
	cpu2, m2 := usage()
	total := cost{cpu: cpu2 - cpu, allocs: m2.Mallocs - m.Mallocs, bytes: m2.TotalAlloc - m.TotalAlloc}
	for _, p := range all {
		total.calls += float64(p.calls)
	}
	return total, err
}

// work measures what the entry adds per request: the cost of calls through it less that of direct calls.
func work(ctx context.Context, r *rig, s Settings, report *Report) error {
	all, err := pairs(ctx, r, s, workers)
	defer func() { closeAll(all) }()
	if err != nil {
		return err
	}
	d, err := phase(all, s, viaTarget)
	if err != nil {
		return err
	}
	t, err := phase(all, s, viaEntry)
	if err != nil {
		return err
	}
	report.Core = 1 / (t.cpu.Seconds()/t.calls - d.cpu.Seconds()/d.calls)
	report.Allocs = float64(t.allocs)/t.calls - float64(d.allocs)/d.calls
	report.Bytes = float64(t.bytes)/t.calls - float64(d.bytes)/d.calls
	return nil
}

// settle is the time in which servers let go of closed connections.
const settle = time.Second

// memory returns the bytes of heap and stacks in use after a collection.
func memory() int64 {
	runtime.GC()
	runtime.GC() // The second collection empties the pools of buffers.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// idle measures the memory of callers that have made a request and stay connected.
func idle(ctx context.Context, r *rig, n int) (int64, error) {
	before := memory()
	all := make([]*caller, 0, n)
	defer func() {
		for _, c := range all {
			c.close()
		}
		time.Sleep(settle)
	}()
	for range n {
		c, err := dial(ctx, r.entry, through)
		if err != nil {
			return 0, err
		}
		all = append(all, c)
		if _, err := c.call(); err != nil {
			return 0, err
		}
		c.br = nil // The caller's own buffer is not counted.
	}
	return memory() - before, nil
}

// uploads measures the memory of uploads whose targets have stopped reading.
func uploads(ctx context.Context, r *rig, n int) (int64, error) {
	before := memory()
	all := make([]*caller, 0, n)
	defer func() {
		close(r.stalled)
		for _, c := range all {
			c.close()
		}
	}()
	head := fmt.Sprintf("POST /run/search/a HTTP/1.1\r\nHost: t\r\nTenant: shop\r\nContent-Length: %d\r\n\r\n", int64(1)<<32)
	piece := make([]byte, 64<<10)
	for range n {
		c, err := dial(ctx, r.entry, head)
		if err != nil {
			return 0, err
		}
		c.br = nil
		all = append(all, c)
		if _, err := io.WriteString(c.conn, head); err != nil {
			return 0, fmt.Errorf("forward: upload: %w", err)
		}
		// The upload goes on until everything on its way is full.
		for {
			_ = c.conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := c.conn.Write(piece); err != nil {
				break
			}
		}
	}
	return memory() - before, nil
}
