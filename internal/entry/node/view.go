package node

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/request/claim"
	"tamarackspool/internal/request/ticket"
)

// memberView is the part of the membership that the request path uses. It is rebuilt at
// each read of the membership, so no request copies all members under the gossip lock.
type memberView struct {
	relayAddrs    map[string]netip.AddrPort
	byIncarnation map[ticket.Incarnation]string
	alive         map[string]bool
	keyOwners     [claim.RangeCount]string // keyOwners holds the owner of each key range; an empty name means none.
}

func newMemberView(members []member.Member) *memberView {
	v := &memberView{
		relayAddrs:    make(map[string]netip.AddrPort, len(members)),
		byIncarnation: make(map[ticket.Incarnation]string, len(members)),
		alive:         make(map[string]bool, len(members)),
	}
	var topScores [claim.RangeCount]uint64
	for _, m := range members {
		if m.State() == member.Dead {
			continue
		}
		if m.RelayAddr().IsValid() {
			v.relayAddrs[m.Name()] = m.RelayAddr()
		}
		v.byIncarnation[m.Incarnation()] = m.Name()
		v.alive[m.Name()] = m.State() == member.Alive
		if m.Live() {
			v.assignRanges(m.Name(), &topScores)
		}
	}
	return v
}

// assignRanges makes the entry the owner of the key ranges in which it has the highest rendezvous score so far.
func (v *memberView) assignRanges(name string, topScores *[claim.RangeCount]uint64) {
	for i := range v.keyOwners {
		score := xxhash.Sum64String(fmt.Sprintf("claim/%02d\x00%s", i, name))
		if v.keyOwners[i] == "" || score > topScores[i] {
			v.keyOwners[i], topScores[i] = name, score
		}
	}
}
