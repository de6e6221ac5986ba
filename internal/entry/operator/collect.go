package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"golang.org/x/sync/errgroup"
)

const (
	// answering bounds how long the other entries may take for their parts.
	answering = time.Second
	// fresh is how long a merged status is used again, so that clicks do not load the fleet.
	fresh = time.Second
	// together is how many entries are asked at once.
	together = 64
	// views bounds the number of kept statuses, one for each set of regions.
	views = 64
)

// Fleet asks another entry for its part of the status, which EncodePart made there.
type Fleet interface {
	Ask(ctx context.Context, entry string) ([]byte, error)
}

// collector merges the parts of the status and keeps the result for a short time; it is safe for concurrent use.
type collector struct {
	d     Dependencies
	mu    sync.Mutex
	views map[string]*view
}

// view is the kept status of one set of regions. Its lock is held while it is
// collected, so that operators who ask together cause one round of calls.
type view struct {
	mu     sync.Mutex
	at     time.Time
	status fleetWire
}

// status answers GET /status?region=R; without a region all are shown.
func (a *API) status(c iris.Context) {
	own := a.d.Reporter.Status()
	shown, err := regionsOf(own, c.Request().URL.Query()["region"])
	if err != nil {
		a.fail(c, http.StatusBadRequest, err)
		return
	}
	// The collection outlives a client that leaves, because others wait for it too.
	a.send(c, http.StatusOK, a.fleet.get(context.WithoutCancel(c.Request().Context()), shown))
}

// regionsOf returns the sorted regions to show.
func regionsOf(s Status, asked []string) ([]string, error) {
	all := []string{}
	for _, r := range s.Regions {
		all = append(all, r.Name)
	}
	slices.Sort(all)
	if len(asked) == 0 {
		return all, nil
	}
	for _, r := range asked {
		if !slices.Contains(all, r) {
			return nil, fmt.Errorf("operator: region %q; accepted are %s", r, strings.Join(all, ", "))
		}
	}
	slices.Sort(asked)
	return slices.Compact(asked), nil
}

func (f *collector) get(ctx context.Context, shown []string) fleetWire {
	v := f.view(strings.Join(shown, "\x00"))
	v.mu.Lock()
	defer v.mu.Unlock()
	if age := f.d.Now().Sub(v.at); v.at.IsZero() || age < 0 || age >= fresh {
		v.status = f.collect(ctx, shown)
		v.at = f.d.Now()
	}
	return v.status
}

func (f *collector) view(key string) *view {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[key]
	if v == nil {
		if len(f.views) >= views {
			clear(f.views)
		}
		v = &view{}
		f.views[key] = v
	}
	return v
}

// collect asks the entries of the regions in parallel and merges what came in time.
func (f *collector) collect(ctx context.Context, shown []string) fleetWire {
	own := f.d.Reporter.Status()
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	members := membersOf(own, shown)
	replies := make([]reply, len(members))
	var g errgroup.Group
	g.SetLimit(together)
	for i, m := range members {
		g.Go(func() error {
			replies[i] = f.ask(ctx, own, m)
			return nil
		})
	}
	_ = g.Wait() // A failure is part of its reply.
	return merge(own, shown, replies)
}

// membersOf returns the members of the regions and the asked entry, sorted by name.
func membersOf(own Status, shown []string) []Member {
	members := slices.Clone(own.Members)
	if len(own.Regions) > 0 { // Without a configuration all are shown.
		members = slices.DeleteFunc(members, func(m Member) bool { return m.Name != own.Entry && !slices.Contains(shown, m.Region) })
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == own.Entry }) {
		members = append(members, Member{Name: own.Entry, Zone: own.Zone, Region: own.Region, State: "alive", Version: own.Version})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// asked reports whether the entry may be running; one that is dead or was never heard of is only listed.
func asked(m Member) bool { return m.State != "dead" && m.State != "unknown" }

func (f *collector) ask(ctx context.Context, own Status, m Member) reply {
	r := reply{member: m}
	switch {
	case m.Name == own.Entry:
		r.part = wireStatus(own)
		return r
	case !asked(m):
		r.err = fmt.Errorf("operator: not asked: the entry is %s", m.State)
		return r
	case f.d.Fleet == nil:
		r.err = errors.New("operator: other entries cannot be asked here")
		return r
	}
	data, err := f.d.Fleet.Ask(ctx, m.Name)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.err = fmt.Errorf("operator: no answer within %v", answering)
	case err != nil:
		r.err = err
	default:
		r.part, r.err = decodePart(m.Name, data)
	}
	return r
}

func compareText(a, b, c, d string) int { return cmp.Or(cmp.Compare(a, b), cmp.Compare(c, d)) }
