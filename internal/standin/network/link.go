package network

import (
	"sync"
	"time"
)

// window is the period over which the peak rate of a link is measured.
const window = time.Second

// windowParts is the number of parts of the sliding window.
const windowParts = 10

// LinkTraffic is the traffic of a directed pair of regions.
type LinkTraffic struct {
	Bytes     uint64  // Bytes is the number of bytes sent.
	PeakRate  float64 // PeakRate is the highest offered rate over one second, in bytes per second.
	RateLimit float64 // RateLimit is the rate limit in bytes per second; 0 means none.
}

// link is one direction between two regions, shared by all its connections.
type link struct {
	mu     sync.Mutex
	rate   float64
	freeAt time.Time // freeAt is when the last reserved byte has left the link.
	bytes  uint64
	peak   uint64 // peak is the largest number of bytes in a window.
	parts  [windowParts]uint64
	newest int64 // newest is the number of the latest part, counted from the Unix epoch.
}

func newLink(rate float64) *link { return &link{rate: rate} }

// reserve occupies the link with size bytes and returns when the last of them has left it.
func (l *link) reserve(now time.Time, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(now, uint64(size))
	if l.rate <= 0 {
		return now
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.freeAt
}

// count adds the bytes to the sliding window; l.mu is held.
func (l *link) count(now time.Time, size uint64) {
	part := now.UnixNano() / int64(window/windowParts)
	if part-l.newest >= windowParts {
		l.parts = [windowParts]uint64{}
		l.newest = part
	}
	for l.newest < part {
		l.newest++
		l.parts[l.newest%windowParts] = 0
	}
	l.parts[l.newest%windowParts] += size
	l.bytes += size
	var sum uint64
	for _, v := range l.parts {
		sum += v
	}
	l.peak = max(l.peak, sum)
}

func (l *link) traffic() LinkTraffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinkTraffic{Bytes: l.bytes, PeakRate: float64(l.peak) / window.Seconds(), RateLimit: l.rate}
}
