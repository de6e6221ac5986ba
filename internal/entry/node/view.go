package node

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/ticket"
)

// memberView is what the request path needs of the membership. It is rebuilt with
// each read of the membership, so that no request copies all members under the
// gossip's lock.
type memberView struct {
	pass    map[string]netip.AddrPort
	holders map[ticket.Incarnation]string
	alive   map[string]bool
	keepers [claim.RangeCount]string // keepers holds the keeper of each key range, or empty names.
}

func newMemberView(members []member.Member) *memberView {
	r := &memberView{
		pass:    make(map[string]netip.AddrPort, len(members)),
		holders: make(map[ticket.Incarnation]string, len(members)),
		alive:   make(map[string]bool, len(members)),
	}
	var tops [claim.RangeCount]uint64
	for _, m := range members {
		if m.State() == member.Dead {
			continue
		}
		if m.RelayAddr().IsValid() {
			r.pass[m.Name()] = m.RelayAddr()
		}
		r.holders[m.Incarnation()] = m.Name()
		r.alive[m.Name()] = m.State() == member.Alive
		if m.Live() {
			r.rank(m.Name(), &tops)
		}
	}
	return r
}

// rank makes the entry keeper of the ranges in which it has the highest rendezvous rank so far.
func (r *memberView) rank(name string, tops *[claim.RangeCount]uint64) {
	for i := range r.keepers {
		score := xxhash.Sum64String(fmt.Sprintf("claim/%02d\x00%s", i, name))
		if r.keepers[i] == "" || score > tops[i] {
			r.keepers[i], tops[i] = name, score
		}
	}
}
