package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a member's place among the watchers.
type ranked struct {
	name string
	rank uint64
}

func rankOf(name string) uint64 { return xxhash.Sum64String("config/head\x00" + name) }

// compare puts the highest rank first.
func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(o.rank, r.rank), cmp.Compare(r.name, o.name))
}

// podium keeps the n best of the members that it is offered.
type podium struct {
	best []ranked
	n    int
}

func (p *podium) offer(r ranked) {
	if at, _ := slices.BinarySearchFunc(p.best, r, ranked.compare); at < p.n {
		p.best = slices.Insert(p.best, at, r)
		p.best = p.best[:min(p.n, len(p.best))]
	}
}

func (p *podium) names() []string {
	names := make([]string, len(p.best))
	for i, r := range p.best {
		names[i] = r.name
	}
	return names
}

// Watchers returns the names of the n live members that watch the configuration, by rendezvous rank.
func Watchers(members []Member, n int) []string {
	p := podium{n: n}
	for i := range members {
		if m := &members[i]; m.Live() {
			p.offer(ranked{m.f.Name, rankOf(m.f.Name)})
		}
	}
	return p.names()
}

// Watchers returns what the function Watchers returns for all members, without copying them.
func (t *Table) Watchers(n int) []string {
	p := podium{n: n}
	for _, r := range t.sorted {
		if r.m.Live() {
			p.offer(ranked{r.m.f.Name, r.rank})
		}
	}
	return p.names()
}
