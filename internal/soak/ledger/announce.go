package ledger

import (
	"fmt"
	"time"
)

// Announcement is an answer in which a target announced that it is leaving, or asked for a pause.
type Announcement struct {
	ID      string // ID is the id of the request that was answered.
	Target  string
	At      time.Time
	Leaving bool
	Pause   time.Duration // Pause is how long the target wants no requests; 0 for none.
}

const (
	// pauseDelay is the time after the announcement of a pause in which requests may still arrive.
	pauseDelay = 500 * time.Millisecond
	// maxPauseArrivals is the number of requests that may arrive in the rest of a pause.
	maxPauseArrivals = 2
)

// AddAnnouncement records an announcement of a target.
func (l *Ledger) AddAnnouncement(a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announcements = append(l.announcements, a)
}

// AddInterruption records when the process of an entry, named by its address as in Attempt, did not run, or a target,
// named by its id, was cut off.
func (l *Ledger) AddInterruption(name string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interruptions[name] = append(l.interruptions[name], interval{from, to})
}

func (l *Ledger) interrupted(name string, from, to time.Time) bool {
	for _, i := range l.interruptions[name] {
		if i.from.Before(to) && i.to.After(from) {
			return true
		}
	}
	return false
}

func (l *Ledger) checkAnnouncements(arrivals []Arrival) []Violation {
	attempts := make(map[string]Attempt, len(l.attempts))
	for _, a := range l.attempts {
		attempts[a.ID] = a
	}
	byTarget := make(map[string][]Arrival)
	for _, a := range arrivals {
		byTarget[a.Target] = append(byTarget[a.Target], a)
	}
	var found []Violation
	for _, n := range l.announcements {
		answered, known := attempts[n.ID]
		if !known {
			continue
		}
		if n.Leaving && answered.Status != 0 {
			found = append(found, l.checkLeave(n, answered, byTarget[n.Target], attempts)...)
		}
		if n.Pause > 0 {
			found = append(found, l.checkPause(n, answered.Entry, byTarget[n.Target], attempts)...)
		}
	}
	return found
}

// checkLeave returns a violation when the target got a request that a caller sent to the entry too late.
func (l *Ledger) checkLeave(n Announcement, answered Attempt, arrivals []Arrival, attempts map[string]Attempt) []Violation {
	for _, a := range arrivals {
		sent, known := attempts[a.ID]
		if !known || sent.Entry != answered.Entry || sent.Sent.Sub(answered.Done) <= drainLimit || l.interrupted(answered.Entry, n.At, a.At) {
			continue
		}
		return []Violation{{Leave, a.ID, fmt.Sprintf("it reached %s, whose leaving %s had passed on with the answer to %s %v before", n.Target, answered.Entry, n.ID, sent.Sent.Sub(answered.Done))}}
	}
	return nil
}

// checkPause returns a violation when too many requests of the entry reached the target during the pause.
func (l *Ledger) checkPause(n Announcement, entry string, arrivals []Arrival, attempts map[string]Attempt) []Violation {
	from, to := n.At.Add(pauseDelay), n.At.Add(n.Pause)
	if l.interrupted(entry, n.At, to) || l.interrupted(n.Target, n.At, to) {
		return nil
	}
	count, last := 0, ""
	for _, a := range arrivals {
		if attempts[a.ID].Entry == entry && a.At.After(from) && a.At.Before(to) {
			count, last = count+1, a.ID
		}
	}
	if count <= maxPauseArrivals {
		return nil
	}
	return []Violation{{Pause, last, fmt.Sprintf("%d requests of %s reached %s within the %v that it had asked for with the answer to %s", count, entry, n.Target, n.Pause, n.ID)}}
}
