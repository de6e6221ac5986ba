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
	// collectTimeout bounds how long the other entries may take to return their parts.
	collectTimeout = time.Second
	// statusMaxAge is how long a merged status is cached, so repeated requests do not load the fleet.
	statusMaxAge = time.Second
	// collectConcurrency is how many entries are queried in parallel.
	collectConcurrency = 64
	// maxCachedStatuses bounds the number of cached statuses, one for each set of regions.
	maxCachedStatuses = 64
)

// Fleet requests the status part of another entry, which that entry encodes with EncodePart.
type Fleet interface {
	RequestStatus(ctx context.Context, entry string) ([]byte, error)
}

// collector merges the status parts of the entries and caches the result for a short time; it is safe for concurrent use.
type collector struct {
	deps      Dependencies
	mu        sync.Mutex
	byRegions map[string]*cachedStatus
}

// cachedStatus is the cached status of one set of regions. Its lock is held during
// collection, so concurrent requests cause one round of calls.
type cachedStatus struct {
	mu     sync.Mutex
	at     time.Time
	status fleetWire
}

// status handles GET /status?region=R; without a region all regions are shown.
func (a *API) status(c iris.Context) {
	own := a.deps.Reporter.Status()
	shown, err := regionsOf(own, c.Request().URL.Query()["region"])
	if err != nil {
		a.sendError(c, http.StatusBadRequest, err)
		return
	}
	// The collection continues when the client disconnects, because other clients may wait for it too.
	a.send(c, http.StatusOK, a.collector.get(context.WithoutCancel(c.Request().Context()), shown))
}

// regionsOf returns the sorted regions to show.
func regionsOf(s Status, requested []string) ([]string, error) {
	all := []string{}
	for _, r := range s.Regions {
		all = append(all, r.Name)
	}
	slices.Sort(all)
	if len(requested) == 0 {
		return all, nil
	}
	for _, r := range requested {
		if !slices.Contains(all, r) {
			return nil, fmt.Errorf("operator: unknown region %q; the regions are %s", r, strings.Join(all, ", "))
		}
	}
	slices.Sort(requested)
	return slices.Compact(requested), nil
}

func (f *collector) get(ctx context.Context, shown []string) fleetWire {
	v := f.forRegions(strings.Join(shown, "\x00"))
	v.mu.Lock()
	defer v.mu.Unlock()
	if age := f.deps.Now().Sub(v.at); v.at.IsZero() || age < 0 || age >= statusMaxAge {
		v.status = f.collect(ctx, shown)
		v.at = f.deps.Now()
	}
	return v.status
}

func (f *collector) forRegions(key string) *cachedStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.byRegions[key]
	if v == nil {
		if len(f.byRegions) >= maxCachedStatuses {
			clear(f.byRegions)
		}
		v = &cachedStatus{}
		f.byRegions[key] = v
	}
	return v
}

// collect queries the entries of the regions in parallel and merges the parts that arrive before the timeout.
func (f *collector) collect(ctx context.Context, shown []string) fleetWire {
	own := f.deps.Reporter.Status()
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	members := membersOf(own, shown)
	replies := make([]reply, len(members))
	var g errgroup.Group
	g.SetLimit(collectConcurrency)
	for i, m := range members {
		g.Go(func() error {
			replies[i] = f.queryMember(ctx, own, m)
			return nil
		})
	}
	_ = g.Wait() // Errors are stored in the replies.
	return merge(own, shown, replies)
}

// membersOf returns the members of the regions and the local entry, sorted by name.
func membersOf(own Status, shown []string) []Member {
	members := slices.Clone(own.Members)
	if len(own.Regions) > 0 { // Without a configuration all members are shown.
		members = slices.DeleteFunc(members, func(m Member) bool { return m.Name != own.Entry && !slices.Contains(shown, m.Region) })
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == own.Entry }) {
		members = append(members, Member{Name: own.Entry, Zone: own.Zone, Region: own.Region, State: "alive", Version: own.Version})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// mayRun reports whether the entry may be running; a dead entry or one outside the membership is listed but not queried.
func mayRun(m Member) bool { return m.State != "dead" && m.State != "unknown" }

func (f *collector) queryMember(ctx context.Context, own Status, m Member) reply {
	r := reply{member: m}
	switch {
	case m.Name == own.Entry:
		r.part = wireStatus(own)
		return r
	case !mayRun(m):
		r.err = fmt.Errorf("operator: not queried: the entry is %s", m.State)
		return r
	case f.deps.Fleet == nil:
		r.err = errors.New("operator: this entry cannot query other entries")
		return r
	}
	data, err := f.deps.Fleet.RequestStatus(ctx, m.Name)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.err = fmt.Errorf("operator: no answer within %v", collectTimeout)
	case err != nil:
		r.err = err
	default:
		r.part, r.err = decodePart(m.Name, data)
	}
	return r
}

func comparePairs(a, b, c, d string) int { return cmp.Or(cmp.Compare(a, b), cmp.Compare(c, d)) }
