package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankedMember is a member's name with its rendezvous rank.
type rankedMember struct {
	name string
	rank uint64
}

func watcherRank(name string) uint64 { return xxhash.Sum64String("config/head\x00" + name) }

// compare puts the highest rank first.
func (r rankedMember) compare(o rankedMember) int {
	return cmp.Or(cmp.Compare(o.rank, r.rank), cmp.Compare(r.name, o.name))
}

// topRanked holds the highest ranked of the members added to it, up to its limit.
type topRanked struct {
	best  []rankedMember
	limit int
}

func (p *topRanked) add(r rankedMember) {
	if at, _ := slices.BinarySearchFunc(p.best, r, rankedMember.compare); at < p.limit {
		p.best = slices.Insert(p.best, at, r)
		p.best = p.best[:min(p.limit, len(p.best))]
	}
}

func (p *topRanked) names() []string {
	names := make([]string, len(p.best))
	for i, r := range p.best {
		names[i] = r.name
	}
	return names
}

// Watchers returns the names of up to n live members, chosen by rendezvous hashing, that watch the configuration in the store.
func Watchers(members []Member, n int) []string {
	p := topRanked{limit: n}
	for i := range members {
		if m := &members[i]; m.Live() {
			p.add(rankedMember{m.fields.Name, watcherRank(m.fields.Name)})
		}
	}
	return p.names()
}

// Watchers returns the same names as the function Watchers for all members of the table, without copying them.
func (t *Table) Watchers(n int) []string {
	p := topRanked{limit: n}
	for _, r := range t.byName {
		if r.member.Live() {
			p.add(rankedMember{r.member.fields.Name, r.rank})
		}
	}
	return p.names()
}
