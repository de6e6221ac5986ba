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
	// patience bounds the wait for a condition. It is far above what any promise
	// allows, because it only ends a script that would otherwise hang.
	patience = 20 * time.Second
	// poll is the pause between two looks at a condition.
	poll = 20 * time.Millisecond
)

// condition reports whether it holds and otherwise what is missing.
type condition func() (bool, string)

// await polls a condition until it holds.
func (s *stage) await(_ io.Writer, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	c, err := s.condition(args[0], args[1:])
	if err != nil {
		return err
	}
	t := time.NewTicker(poll)
	defer t.Stop()
	end := time.NewTimer(patience)
	defer end.Stop()
	for {
		ok, missing := c()
		if ok {
			return nil
		}
		select {
		case <-t.C:
		case <-end.C:
			return fmt.Errorf("scenario: %v did not come to hold: %s", args, missing)
		}
	}
}

// condition returns the named condition.
func (s *stage) condition(name string, args []string) (condition, error) {
	switch {
	case name == "owned" && len(args) == 0:
		return s.owned, nil
	case name == "serving" && len(args) == 1:
		return func() (bool, string) {
			n := s.live.Node(args[0])
			return n != nil && n.Ready(), args[0] + " does not serve"
		}, nil
	case name == "gone" && len(args) == 1:
		return func() (bool, string) { return s.live.Node(args[0]) == nil, args[0] + " still runs" }, nil
	case name == "member" && len(args) == 2:
		return func() (bool, string) { return s.member(args[0], args[1]) }, nil
	case name == "sees" && len(args) == 3:
		return func() (bool, string) { return s.sees(args[0], args[1], args[2]) }, nil
	case name == "store" && len(args) == 1 && (args[0] == "up" || args[0] == "down"):
		return func() (bool, string) { return s.reaches(args[0] == "up") }, nil
	case name == "logged" && len(args) == 1:
		return s.logged(args[0])
	case name == "late" && len(args) == 1:
		return func() (bool, string) { return s.live.Late(args[0]), "its leaving time is not over" }, nil
	case name == "quiet" && len(args) == 1:
		return func() (bool, string) { return s.quiet(args[0]) }, nil
	case name == "version" && len(args) >= 1:
		return s.counted(args[0], func() (int, string) { return s.lowest(args[1:]) }, false)
	case name == "answered" && len(args) == 1:
		return s.counted(args[0], func() (int, string) { return s.answered(), "answered requests" }, true)
	case name == "ran" && len(args) == 2:
		return s.counted(args[1], func() (int, string) { return s.live.Runs(args[0]), "runs" }, true)
	}
	return nil, errUsage
}

// counted holds once the count has reached the number, or with more that many
// more than at the beginning.
func (s *stage) counted(number string, count func() (int, string), more bool) (condition, error) {
	n, err := strconv.Atoi(number)
	if err != nil {
		return nil, errUsage
	}
	if more {
		now, _ := count()
		n += now
	}
	return func() (bool, string) {
		got, what := count()
		return got >= n, fmt.Sprintf("%d of %d %s", got, n, what)
	}, nil
}

// owned holds when each entry serves and each target that is not leaving has one owner that admits requests.
func (s *stage) owned() (bool, string) {
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

func (s *stage) member(name, state string) (bool, string) {
	for _, e := range s.live.Entries() {
		if e == name {
			continue
		}
		if ok, missing := s.sees(e, name, state); !ok {
			return false, missing
		}
	}
	return true, ""
}

// sees holds when the observer takes the entry to be in the state.
func (s *stage) sees(observer, name, state string) (bool, string) {
	st, err := s.state(observer)
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

// reaches holds for up when all entries reach the store, and for down when one
// has noticed that it does not: only the watching entries call it all the time.
func (s *stage) reaches(up bool) (bool, string) {
	for _, e := range s.live.Entries() {
		st, err := s.state(e)
		if err != nil {
			return false, err.Error()
		}
		if st.StoreReachable != up {
			return !up, e + " does not reach the store"
		}
	}
	return up, "every entry still takes the store to be up"
}

func (s *stage) quiet(drain string) (bool, string) {
	for _, e := range s.live.Entries() {
		st, err := s.state(e)
		if err != nil {
			return false, err.Error()
		}
		found := false
		for _, d := range st.Drains {
			if d.Name == drain && !d.Quiet {
				return false, fmt.Sprintf("%s has %d requests in flight or open gates", e, d.Busy)
			}
			found = found || d.Name == drain
		}
		if !found {
			return false, e + " does not know the drain"
		}
	}
	return true, ""
}

func (s *stage) logged(expression string) (condition, error) {
	re, err := regexp.Compile(expression)
	if err != nil {
		return nil, err
	}
	return func() (bool, string) { return re.MatchString(s.log.text()), "no such event" }, nil
}

// lowest returns the lowest version of the named entries, or of all.
func (s *stage) lowest(names []string) (int, string) {
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

func (s *stage) answered() int {
	count := 0
	for _, r := range s.live.Records() {
		if r.Last().Verdict == "ran" {
			count++
		}
	}
	return count
}

// state returns the status of a running entry.
func (s *stage) state(entry string) (operator.Status, error) {
	n := s.live.Node(entry)
	if n == nil {
		return operator.Status{}, fmt.Errorf("scenario: entry %q does not run", entry)
	}
	return n.Status(), nil
}
