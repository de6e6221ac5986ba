package forward

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// workCallers is the number of callers while the cost per request is measured.
const workCallers = 32

// phaseCost is the resource usage of all calls of a phase.
type phaseCost struct {
	cpu    time.Duration
	allocs uint64
	bytes  uint64
	calls  float64
}

// resourceUsage returns the CPU time and the memory statistics of this process.
func resourceUsage() (time.Duration, runtime.MemStats) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0, m
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), m
}

func measurePhase(all []*pair, s Settings, c func(*pair) *caller) (phaseCost, error) {
	cpuBefore, before := resourceUsage()
	_, err := runPairs(all, s.Length, closedLoop(c))
	cpuAfter, after := resourceUsage()
	total := phaseCost{cpu: cpuAfter - cpuBefore, allocs: after.Mallocs - before.Mallocs, bytes: after.TotalAlloc - before.TotalAlloc}
	for _, p := range all {
		total.calls += float64(p.calls)
	}
	return total, err
}

// measureWork measures what the entry adds per request: the cost of a call through it minus that of a direct call.
func measureWork(ctx context.Context, r *testbed, s Settings, report *Report) error {
	all, err := dialPairs(ctx, r, s, workCallers)
	defer func() { closeAll(all) }()
	if err != nil {
		return err
	}
	d, err := measurePhase(all, s, directCaller)
	if err != nil {
		return err
	}
	t, err := measurePhase(all, s, entryCaller)
	if err != nil {
		return err
	}
	report.Core = 1 / (t.cpu.Seconds()/t.calls - d.cpu.Seconds()/d.calls)
	report.Allocs = float64(t.allocs)/t.calls - float64(d.allocs)/d.calls
	report.Bytes = float64(t.bytes)/t.calls - float64(d.bytes)/d.calls
	return nil
}

// closeDelay is the time that servers need to release closed connections.
const closeDelay = time.Second

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC() // The second collection empties the buffer pools.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// measureIdle measures the memory of callers that have made a request and stay connected.
func measureIdle(ctx context.Context, r *testbed, n int) (int64, error) {
	before := memoryInUse()
	all := make([]*caller, 0, n)
	defer func() {
		for _, c := range all {
			c.close()
		}
		time.Sleep(closeDelay)
	}()
	for range n {
		c, err := dial(ctx, r.entryAddress, entryRequest)
		if err != nil {
			return 0, err
		}
		all = append(all, c)
		if _, err := c.call(); err != nil {
			return 0, err
		}
		c.reader = nil // The caller's own read buffer is not counted.
	}
	return memoryInUse() - before, nil
}

// measureUploads measures the memory of uploads whose targets have stopped reading.
func measureUploads(ctx context.Context, r *testbed, n int) (int64, error) {
	before := memoryInUse()
	all := make([]*caller, 0, n)
	defer func() {
		close(r.uploadsEnded)
		for _, c := range all {
			c.close()
		}
	}()
	head := fmt.Sprintf("POST /run/search/a HTTP/1.1\r\nHost: t\r\nTenant: shop\r\nContent-Length: %d\r\n\r\n", int64(1)<<32)
	chunk := make([]byte, 64<<10)
	for range n {
		c, err := dial(ctx, r.entryAddress, head)
		if err != nil {
			return 0, err
		}
		c.reader = nil
		all = append(all, c)
		if _, err := io.WriteString(c.conn, head); err != nil {
			return 0, fmt.Errorf("forward: upload: %w", err)
		}
		// Write until all buffers between caller and target are full.
		for {
			_ = c.conn.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := c.conn.Write(chunk); err != nil {
				break
			}
		}
	}
	return memoryInUse() - before, nil
}
