package edge

import (
	"net/http"
	"time"

	"tamarackspool/internal/record/event"
)

// noteAnnouncements records what the target announces in the head of an answer that belongs to the request with the id,
// or to a health check, whose id is empty.
func (e *Edge) noteAnnouncements(id string, s *targetState, status int, h http.Header) {
	if e.deps.Headers.AnnouncesLeaving(h) {
		for _, o := range e.answeringTargets(s, status, h) {
			e.noteLeaving(id, o, status)
		}
	}
	if d := e.deps.Headers.RequestedPause(status, h); d > 0 {
		now := time.Now()
		if until, moved := s.notice.Pause(d, now); moved {
			e.meters.pauses.Inc(1)
			e.events.Log(event.TargetPaused, "id", id, "target", s.target.ID(), "born", s.target.StartedMillis(), "requested", d, "for", until.Sub(now))
		}
	}
}

// answeringTargets returns the targets that may have given the answer: the one that was asked, unless the answer says
// that another one has its address.
func (e *Edge) answeringTargets(asked *targetState, status int, h http.Header) []*targetState {
	if status != http.StatusMisdirectedRequest {
		return []*targetState{asked}
	}
	instance := e.deps.Headers.TargetInstance(h)
	var answering []*targetState
	for _, b := range e.view.Load().services {
		for _, s := range b.targets {
			if s.target.Address() == asked.target.Address() && (instance == "" || s.target.ID() == instance) {
				answering = append(answering, s)
			}
		}
	}
	return answering
}

func (e *Edge) noteLeaving(id string, s *targetState, status int) {
	if !s.notice.AnnounceLeaving() {
		return
	}
	e.pool.CloseIdle(s.target.Address())
	e.meters.announcedLeaving.Inc(1)
	e.events.Log(event.LeavingAnnounced, "id", id, "target", s.target.ID(), "born", s.target.StartedMillis(), "status", status, "registered-leaving", s.target.Leaving())
}

// logEndedPauses logs the pauses of targets that have ended since the last call.
func (e *Edge) logEndedPauses(now time.Time) {
	for _, b := range e.view.Load().services {
		for _, s := range b.targets {
			if s.notice.TakeEnd(now) {
				e.events.Log(event.PauseEnded, "target", s.target.ID(), "born", s.target.StartedMillis(), "leaving", s.notice.Leaving())
			}
		}
	}
}
