package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackspool/internal/steer/quota"
)

// customer is the tolerance of the first customer.
var customer = quota.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

const (
	step     = 100 * time.Millisecond
	leaseTTL = 3 * time.Second
	account  = "small"
	// grantAge is how long before its registration was written an entry's lease may have been granted.
	grantAge = 1200 * time.Millisecond
)

// content is what the store holds from a time on.
type content struct {
	at      time.Duration
	members []quota.Member
	limit   quota.Limit
}

// fleet simulates entries that own an account, and the store from which they learn of each other. It records when tokens were
// granted. Holders may spend a token at any time of its lifetime, so the worst case follows from the grants.
type fleet struct {
	now     time.Duration
	store   []content // store is the history of the contents.
	entries []*entry
	grants  []time.Duration
	overlap string // overlap describes the first moment at which there were too many owners.
}

type entry struct {
	quota.Member
	renewed   time.Duration // renewed is when the lease was last renewed.
	listed    bool          // listed is set while the store has the registration.
	mute      bool          // mute is set while the store gets nothing from the entry.
	deaf      bool          // deaf is set while the entry reads nothing.
	paused    bool
	down      bool
	lag       time.Duration // lag is the age of the contents that the entry reads.
	version   int           // version is the index of the contents that the entry has.
	confirmed time.Duration

	roster quota.Roster
	tenure quota.Tenure
	limit  quota.Limit
	bucket *quota.Owner
}

func newFleet(limit quota.Limit, entries, regions int) *fleet {
	f := &fleet{now: 1000 * time.Second}
	f.store = []content{{at: f.now, limit: limit}}
	for i := range entries {
		e := &entry{Member: quota.Member{Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", i%regions)}}
		f.entries = append(f.entries, e)
		f.restart(e)
	}
	return f
}

func (f *fleet) restart(e *entry) {
	e.roster, e.tenure, e.bucket, e.version, e.confirmed = quota.Roster{}, quota.Tenure{}, nil, -1, 0
	e.down, e.paused = false, false
	if !e.mute {
		f.register(e)
	}
}

func (f *fleet) register(e *entry) {
	e.tenure.Suspend(f.now)
	e.renewed = f.now - grantAge
	e.listed = true
	f.write(func(c *content) {
		c.members = append(slices.DeleteFunc(slices.Clone(c.members), func(m quota.Member) bool { return m.Name == e.Name }), e.Member)
	})
}

func (f *fleet) write(change func(c *content)) {
	c := f.store[len(f.store)-1]
	c.at = f.now
	change(&c)
	f.store = append(f.store, c)
}

// tick advances the time by a step; with take set, every entry that takes itself for the owner grants all its tokens.
func (f *fleet) tick(take bool) {
	f.now += step
	for _, e := range f.entries {
		if e.listed && f.now-e.renewed >= leaseTTL {
			e.listed = false
			f.write(func(c *content) {
				c.members = slices.DeleteFunc(slices.Clone(c.members), func(m quota.Member) bool { return m.Name == e.Name })
			})
		}
	}
	for _, e := range f.entries {
		if e.down || e.paused {
			continue
		}
		f.read(e)
		if !e.mute {
			e.renewed = f.now
			if !e.listed {
				f.register(e)
			}
		}
		f.own(e, take)
	}
	owners, shares := make(map[string]string), 0.0
	for _, e := range f.entries {
		if e.bucket == nil || e.down || e.paused {
			continue
		}
		shares += 1 / float64(e.roster.Regions(f.now))
		if other := owners[e.Region]; f.overlap == "" && (other != "" || shares > 1.001) {
			f.overlap = fmt.Sprintf("at %v: %s and %s, owners with %.2f of the limit", f.now, e.Name, other, shares)
		}
		owners[e.Region] = e.Name
	}
}

// read lets the entry read the contents that the store had before its lag.
func (f *fleet) read(e *entry) {
	at := f.now - e.lag
	if e.deaf || at < e.confirmed {
		return
	}
	latest := e.version
	for latest+1 < len(f.store) && f.store[latest+1].at <= at {
		latest++
	}
	if latest < 0 {
		return
	}
	since := e.confirmed
	e.confirmed = at
	if latest != e.version {
		e.version, e.limit = latest, f.store[latest].limit
		e.roster = e.roster.Next(f.store[latest].members, e.Name, since, f.now)
	}
}

func (f *fleet) own(e *entry, take bool) {
	key := quota.Key(account)
	holds := e.tenure.Holds(f.now-e.confirmed, f.now, true)
	if !holds || !e.roster.Owns(e.Name, key, f.now) {
		e.bucket = nil
		return
	}
	regions := e.roster.Regions(f.now)
	if e.bucket == nil {
		e.bucket = quota.NewOwner(customer.Widen(e.limit), regions, f.now)
	}
	e.bucket.SetLimit(customer.Widen(e.limit), regions, f.now)
	if take {
		granted, _ := e.bucket.Grant(math.MaxInt32, 0, f.now)
		for range granted {
			f.grants = append(f.grants, f.now)
		}
	}
}

// excess returns by how many tokens the worst window that begins after the given time exceeds the bound: the tokens that may be
// spent in a window were granted in it or in the lifetime before it.
func (f *fleet) excess(from time.Duration, limit quota.Limit, regions int) float64 {
	span := customer.Window + customer.Lifetime(limit)
	wide := customer.Widen(limit)
	bound := wide.Rate*(span+step).Seconds() + math.Max(wide.Burst, float64(regions))
	worst := 0.0
	last := 0
	for first, at := range f.grants {
		if at < from {
			continue
		}
		for last < len(f.grants) && f.grants[last] <= at+span {
			last++
		}
		worst = max(worst, float64(last-first)-bound)
	}
	return worst
}

// Guards against more tokens than the bound because two entries own the account, because an owner begins with a full bucket, or
// because regions are counted wrongly, in any history of cuts, pauses, restarts, ends and lowered limits.
func TestAnyHistoryStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{Rate: rapid.SampledFrom([]float64{3, 20, 200}).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "burst")
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		f := newFleet(limit, rapid.IntRange(1, 9).Draw(t, "entries"), regions)
		lags := rapid.SampledFrom([]time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond})
		f.run(t, 100, lags)
		if over := f.excess(0, limit, regions); over > 0 {
			t.Fatalf("%.2f tokens beyond the bound", over)
		}
		lower := quota.Limit{Rate: limit.Rate / 3, Burst: limit.Burst / 3}
		f.write(func(c *content) { c.limit = lower })
		known := f.now + quota.Exclusion
		f.run(t, 100, lags)
		if over := f.excess(known, lower, regions); over > 0 {
			t.Fatalf("%.2f tokens beyond the lowered bound", over)
		}
		if f.overlap != "" {
			t.Fatal(f.overlap)
		}
	})
}

// run plays a drawn history.
func (f *fleet) run(t *rapid.T, steps int, lags *rapid.Generator[time.Duration]) {
	for range steps {
		e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
		switch rapid.IntRange(0, 12).Draw(t, "change") {
		case 0:
			e.mute = !e.mute
		case 1:
			e.deaf = !e.deaf
		case 2:
			e.paused = !e.paused
		case 3:
			e.down = true
		case 4:
			f.restart(e)
		case 5:
			e.mute, e.deaf = false, false
		case 6, 7:
			e.lag = lags.Draw(t, "lag")
		}
		take := rapid.IntRange(0, 3).Draw(t, "take") > 0
		for range rapid.IntRange(1, 40).Draw(t, "ticks") {
			f.tick(take)
		}
	}
}

// Guards against a bound that depends on the number of entries.
func TestFleetsOfAnySizeStayWithinTheBound(t *testing.T) {
	limit := quota.Limit{Rate: 50, Burst: 50}
	for _, entries := range []int{1, 12, 79, 590} {
		r := rand.New(rand.NewPCG(5, uint64(entries)))
		f := newFleet(limit, entries, 3)
		for range 40 {
			f.tick(true)
		}
		for i := range 100 {
			e := f.entries[r.IntN(len(f.entries))]
			switch {
			case i%10 > 0:
			case i%3 == 0:
				e.deaf = !e.deaf
			case i%3 == 1:
				e.lag = time.Duration(r.IntN(29)) * step
			default:
				f.restart(e)
			}
			f.tick(i%3 > 0)
		}
		if over := f.excess(0, limit, 3); over > 0 {
			t.Errorf("%d entries: %.2f tokens beyond the bound", entries, over)
		}
		if f.overlap != "" {
			t.Errorf("%d entries: %s", entries, f.overlap)
		}
		if len(f.grants) == 0 {
			t.Errorf("%d entries granted nothing", entries)
		}
	}
}

// Guards against lifetimes and buckets that use more than the tolerance, the time until requests arrive included.
func TestTermsStayWithinTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := quota.Tolerance{
			Window: time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * time.Second,
			Over:   rapid.Float64Range(0, 0.5).Draw(t, "over"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		l := quota.Limit{Rate: rapid.Float64Range(0.5, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 2000).Draw(t, "burst")}
		life := tolerance.Lifetime(l).Seconds()
		if life < 0.25 || life > tolerance.Window.Seconds() {
			t.Fatalf("lifetime %v s", life)
		}
		w := tolerance.Window.Seconds()
		excess := tolerance.Over*(l.Rate*w+l.Burst) + tolerance.Slack
		granted := tolerance.Widen(l)
		if granted.Rate < l.Rate {
			t.Fatalf("the rate falls to %v", granted.Rate)
		}
		used := granted.Rate*(w+life) + granted.Burst - (l.Rate*w + l.Burst)
		if least := 0.25 * l.Rate; used > max(least, excess-min(excess/2, l.Rate))+1e-6*l.Rate {
			t.Fatalf("%.3f of %.3f tolerated requests are used", used, excess)
		}
	})
}

// Guards against a second owner that another one never hears of: it was registered and lapsed between two reads of the other one,
// and owns until it has not heard of its own end for the allowed time.
func TestUnseenRegistrationOwnsNothing(t *testing.T) {
	for _, renewed := range []time.Duration{0, 500 * time.Millisecond, 4 * time.Second} {
		f := newFleet(quota.Limit{Rate: 20, Burst: 20}, 2, 1)
		wait := func(d time.Duration) {
			for range d / step {
				f.tick(true)
			}
		}
		wait(6 * time.Second)
		first, other := f.entries[0], f.entries[1]
		if other.bucket != nil {
			first, other = other, first
		}
		first.down = true
		wait(10 * time.Second)
		if other.bucket == nil {
			t.Fatal("nobody owns the account after the end of its owner")
		}
		other.deaf = true
		f.restart(first)
		first.mute = renewed == 0
		wait(renewed)
		first.mute = true
		wait(leaseTTL - (f.now - first.renewed) - step)
		first.deaf = true
		wait(2 * step)
		if other.deaf = false; first.listed {
			t.Fatal("the registration has not lapsed")
		}
		wait(6 * time.Second)
		if f.overlap != "" {
			t.Errorf("renewed for %v: %s", renewed, f.overlap)
		}
	}
}
