package notice

import (
	"sync/atomic"
	"time"
)

const (
	// MaxPause bounds a pause; a target that names a longer one is asked again after it.
	MaxPause = 10 * time.Minute
	// maxReturn bounds the time in which the objects of a target come back after its pause.
	maxReturn = time.Second
)

// Notice is what one incarnation of a target has announced; it is safe for concurrent use.
type Notice struct {
	leaving atomic.Bool
	pause   atomic.Pointer[pause]
	ended   atomic.Bool // ended is set when the end of the last pause has been taken.
}

// pause is a time in which the target wants no requests; it is immutable.
type pause struct {
	until  time.Time
	length time.Duration // length is the length of the request for a pause that ends last.
}

// AnnounceLeaving records that the target is leaving and reports whether that is new.
func (n *Notice) AnnounceLeaving() bool { return n.leaving.CompareAndSwap(false, true) }

// Leaving reports whether the target has announced that it is leaving.
func (n *Notice) Leaving() bool { return n.leaving.Load() }

// Pause records that the target wants no requests for d from now on. Of pauses that overlap the last end counts. It
// returns the end and whether the pause moved it.
func (n *Notice) Pause(d time.Duration, now time.Time) (until time.Time, moved bool) {
	next := &pause{now.Add(min(d, MaxPause)), min(d, MaxPause)}
	for {
		old := n.pause.Load()
		if old != nil && !next.until.After(old.until) {
			return old.until, false
		}
		if n.pause.CompareAndSwap(old, next) {
			n.ended.Store(false)
			return next.until, true
		}
	}
}

// PausedUntil returns the end of the pause and whether it lies ahead.
func (n *Notice) PausedUntil(now time.Time) (time.Time, bool) {
	p := n.pause.Load()
	if p == nil {
		return time.Time{}, false
	}
	return p.until, now.Before(p.until)
}

// AcceptsRequests reports whether the target may get requests.
func (n *Notice) AcceptsRequests(now time.Time) bool {
	_, paused := n.PausedUntil(now)
	return !paused && !n.Leaving()
}

// AwaitsReturn reports whether an object is to wait for its return to the target after a pause. Objects come back one
// after another, in the order of their positions in [0, 1), over the length of the pause or maxReturn, so that
// neither one entry nor hundreds send all that they held back at the same moment.
func (n *Notice) AwaitsReturn(position float64, now time.Time) bool {
	p := n.pause.Load()
	if p == nil {
		return false
	}
	since, span := now.Sub(p.until), min(p.length, maxReturn)
	return since < span && position*float64(span) >= float64(max(0, since))
}

// TakeEnd reports, once for each pause, that the pause has ended.
func (n *Notice) TakeEnd(now time.Time) bool {
	until, paused := n.PausedUntil(now)
	return !until.IsZero() && !paused && n.ended.CompareAndSwap(false, true)
}

// active reports whether the notice still keeps requests from its target.
func (n *Notice) active(now time.Time) bool { return !n.AcceptsRequests(now) }
