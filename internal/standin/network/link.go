package network

import (
	"sync"
	"time"
)

// window is the time over which the peak use of a link is measured.
const window = time.Second

// steps is how many parts a window has.
const steps = 10

// Use is the traffic of a directed pair of regions.
type Use struct {
	Bytes uint64  // Bytes is all that was sent.
	Peak  float64 // Peak is the highest offered rate over one second, in bytes per second.
	Limit float64 // Limit is the rate limit in bytes per second; 0 means none.
}

// link is one direction between two regions, shared by all its connections.
type link struct {
	mu     sync.Mutex
	rate   float64
	free   time.Time
	bytes  uint64
	peak   uint64
	parts  [steps]uint64
	newest int64
}

func newLink(rate float64) *link { return &link{rate: rate} }

// reserve charges size bytes to the link and returns when the last of them has left it.
func (l *link) reserve(now time.Time, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(now, uint64(size))
	if l.rate <= 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.free
}

// count adds the bytes to the sliding window; l.mu is held.
func (l *link) count(now time.Time, size uint64) {
	part := now.UnixNano() / int64(window/steps)
	if part-l.newest >= steps {
		l.parts = [steps]uint64{}
		l.newest = part
	}
	for l.newest < part {
		l.newest++
		l.parts[l.newest%steps] = 0
	}
	l.parts[l.newest%steps] += size
	l.bytes += size
	var sum uint64
	for _, v := range l.parts {
		sum += v
	}
	l.peak = max(l.peak, sum)
}

func (l *link) use() Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Use{Bytes: l.bytes, Peak: float64(l.peak) / window.Seconds(), Limit: l.rate}
}
