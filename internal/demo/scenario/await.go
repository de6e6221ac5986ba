package scenario

import (
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"tamarackspool/internal/entry/operator"
)

const (
	// awaitTimeout bounds the wait for a condition. It is far above any time limit of
	// a promise, because it only ends a script that would otherwise hang.
	awaitTimeout = 20 * time.Second
	// pollInterval is the interval at which a condition is evaluated.
	pollInterval = 20 * time.Millisecond
)

// condition reports whether it holds; if not, the string says what is missing.
type condition func() (bool, string)

// await polls a condition until it holds or awaitTimeout has passed.
func (s *scriptState) await(_ io.Writer, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	c, err := s.newCondition(args[0], args[1:])
	if err != nil {
		return err
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	end := time.NewTimer(awaitTimeout)
	defer end.Stop()
	for {
		ok, missing := c()
		if ok {
			return nil
		}
		select {
		case <-t.C:
		case <-end.C:
			return fmt.Errorf("scenario: timed out waiting for %v: %s", args, missing)
		}
	}
}

// newCondition returns the named condition.
func (s *scriptState) newCondition(name string, args []string) (condition, error) {
	switch {
	case name == "owned" && len(args) == 0:
		return s.allTargetsOwned, nil
	case name == "serving" && len(args) == 1:
		return func() (bool, string) {
			n := s.live.Node(args[0])
			return n != nil && n.Ready(), args[0] + " does not serve"
		}, nil
	case name == "gone" && len(args) == 1:
		return func() (bool, string) { return s.live.Node(args[0]) == nil, args[0] + " still runs" }, nil
	case name == "member" && len(args) == 2:
		return func() (bool, string) { return s.allSeeMember(args[0], args[1]) }, nil
	case name == "sees" && len(args) == 3:
		return func() (bool, string) { return s.seesMember(args[0], args[1], args[2]) }, nil
	case name == "store" && len(args) == 1 && (args[0] == "up" || args[0] == "down"):
		return func() (bool, string) { return s.storeReachable(args[0] == "up") }, nil
	case name == "logged" && len(args) == 1:
		return s.eventLogged(args[0])
	case name == "late" && len(args) == 1:
		return func() (bool, string) { return s.live.LeavingTimeExpired(args[0]), "its leaving time has not expired" }, nil
	case name == "quiet" && len(args) == 1:
		return func() (bool, string) { return s.drainQuiet(args[0]) }, nil
	case name == "version" && len(args) >= 1:
		return s.countReached(args[0], func() (int, string) { return s.lowestVersion(args[1:]) }, false)
	case name == "answered" && len(args) == 1:
		return s.countReached(args[0], func() (int, string) { return s.answeredCount(), "answered requests" }, true)
	case name == "ran" && len(args) == 2:
		return s.countReached(args[1], func() (int, string) { return s.live.RunCount(args[0]), "runs" }, true)
	}
	return nil, errUsage
}

// countReached returns a condition that holds once the count has reached the
// number. If additional is set, the count at the time of the call is added to the number.
func (s *scriptState) countReached(number string, count func() (int, string), additional bool) (condition, error) {
	n, err := strconv.Atoi(number)
	if err != nil {
		return nil, errUsage
	}
	if additional {
		now, _ := count()
		n += now
	}
	return func() (bool, string) {
		got, what := count()
		return got >= n, fmt.Sprintf("%d of %d %s", got, n, what)
	}, nil
}

// allTargetsOwned reports whether each entry serves and each target has exactly one
// owner that admits requests; the owner of a leaving target needn't admit any.
func (s *scriptState) allTargetsOwned() (bool, string) {
	owners := make(map[string]int)
	for _, name := range s.live.Entries() {
		n := s.live.Node(name)
		if n == nil || !n.Ready() || n.Snapshot() == nil {
			return false, name + " does not serve"
		}
		for _, t := range n.Snapshot().Status().Targets {
			if t.Limit > 0 || t.Leaving != "" {
				owners[t.Name]++
			}
		}
	}
	for _, t := range s.live.Targets() {
		if owners[t] != 1 {
			return false, fmt.Sprintf("%s has %d owners that admit requests", t, owners[t])
		}
	}
	return true, ""
}

func (s *scriptState) allSeeMember(name, state string) (bool, string) {
	for _, e := range s.live.Entries() {
		if e == name {
			continue
		}
		if ok, missing := s.seesMember(e, name, state); !ok {
			return false, missing
		}
	}
	return true, ""
}

// seesMember reports whether the observer's member list has the entry in the state.
func (s *scriptState) seesMember(observer, name, state string) (bool, string) {
	st, err := s.entryStatus(observer)
	if err != nil {
		return false, err.Error()
	}
	got := ""
	for _, m := range st.Members {
		if m.Name == name {
			got = m.State
		}
	}
	return got == state, fmt.Sprintf("%s sees %s as %q", observer, name, got)
}

// storeReachable reports for up whether all entries reach the store, and otherwise
// whether at least one entry doesn't: only the entries that watch the store call it
// continuously, so the others may not have noticed an outage.
func (s *scriptState) storeReachable(up bool) (bool, string) {
	for _, e := range s.live.Entries() {
		st, err := s.entryStatus(e)
		if err != nil {
			return false, err.Error()
		}
		if st.StoreReachable != up {
			return !up, e + " does not reach the store"
		}
	}
	return up, "every entry still reaches the store"
}

func (s *scriptState) drainQuiet(drain string) (bool, string) {
	for _, e := range s.live.Entries() {
		st, err := s.entryStatus(e)
		if err != nil {
			return false, err.Error()
		}
		found := false
		for _, d := range st.Drains {
			if d.Name == drain && !d.Quiet {
				return false, fmt.Sprintf("%s reports the drain as not quiet with %d requests in flight", e, d.Busy)
			}
			found = found || d.Name == drain
		}
		if !found {
			return false, e + " does not know the drain"
		}
	}
	return true, ""
}

func (s *scriptState) eventLogged(expression string) (condition, error) {
	re, err := regexp.Compile(expression)
	if err != nil {
		return nil, err
	}
	return func() (bool, string) { return re.MatchString(s.log.text()), "no such event" }, nil
}

// lowestVersion returns the lowest version in force of the named entries, or of all.
func (s *scriptState) lowestVersion(names []string) (int, string) {
	if len(names) == 0 {
		names = s.live.Entries()
	}
	low := -1
	for _, e := range names {
		v := 0
		if n := s.live.Node(e); n != nil && n.Ready() {
			v = int(n.Version())
		}
		if low < 0 || v < low {
			low = v
		}
	}
	return low, "as the lowest version"
}

func (s *scriptState) answeredCount() int {
	count := 0
	for _, r := range s.live.Records() {
		if r.LastAttempt().Verdict == "ran" {
			count++
		}
	}
	return count
}

// entryStatus returns the status of a running entry.
func (s *scriptState) entryStatus(entry string) (operator.Status, error) {
	n := s.live.Node(entry)
	if n == nil {
		return operator.Status{}, fmt.Errorf("scenario: entry %q does not run", entry)
	}
	return n.Status(), nil
}
