package gossip

import (
	"context"

	"tamarackspool/internal/fleet/member"
)

// exchange exchanges heartbeats with the peer; a second call transfers the records that either side is missing. fresh tells the
// peer that the local entry has just started and knows few members.
func (s *Service) exchange(ctx context.Context, conn *peerConn, fresh bool) error {
	if err := conn.connect(ctx); err != nil {
		return err
	}
	peerName := conn.peerName()
	s.mu.Lock()
	request := s.compose(nil, nil, s.pacer.heartbeatLimit)
	request.Fresh = fresh
	s.mu.Unlock()
	answer, err := s.callExchange(ctx, conn, peerName, request)
	if err != nil {
		return err
	}
	s.mu.Lock()
	followUp := exchangeMessage{Version: request.Version, Hash: request.Hash, Members: s.requestedRecords(answer.WantRecords), WantRecords: s.recordsToRequest()}
	s.mu.Unlock()
	if len(followUp.Members)+len(followUp.WantRecords) == 0 {
		return nil
	}
	_, err = s.callExchange(ctx, conn, peerName, followUp)
	return err
}

func (s *Service) callExchange(ctx context.Context, conn *peerConn, peerName string, request exchangeMessage) (exchangeMessage, error) {
	sent := s.deps.Now()
	var answer exchangeMessage
	if err := conn.call(ctx, "exchange", request, &answer); err != nil {
		return answer, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok := s.table.Member(peerName)
	if !ok {
		peer = member.New(member.Fields{Name: peerName, PeerAddr: conn.address})
	}
	s.mergeMessage(peer, answer)
	if len(answer.Loans) > 0 {
		s.loansByLender[peerName] = borrowedLoans(peerName, s.settings.Self.Name(), answer.Loans, sent)
	}
	if answer.Confirmed {
		s.table.Confirm()
		s.confirmedAt = sent
	}
	s.deps.Holder.Raise(answer.Floor)
	return answer, nil
}

// answerExchange merges an exchange message of the peer and returns the answer.
func (s *Service) answerExchange(peer member.Member, m exchangeMessage) exchangeMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.table.Member(peer.Name()); ok && known.Incarnation() == peer.Incarnation() {
		peer = known
	}
	s.mergeMessage(peer, m)
	answer := s.composeAnswer(peer, m)
	answer.Floor = s.table.VersionFloor(peer.Name())
	answer.Confirmed = s.table.IsCurrent(peer.Name(), peer.Incarnation())
	answer.Members = append(answer.Members, s.requestedRecords(m.WantRecords)...)
	if !answer.Confirmed {
		if current, ok := s.table.Member(peer.Name()); ok {
			answer.Members = append(answer.Members, encodeMember(current))
		}
	}
	if m.Fresh {
		answer.Members = append(answer.Members, s.newPeerRecords()...)
	}
	return answer
}

// composeAnswer returns the answer to a message: heartbeats and loans, or neither if the message carries only records.
func (s *Service) composeAnswer(peer member.Member, m exchangeMessage) exchangeMessage {
	if len(m.Heartbeats) == 0 {
		return exchangeMessage{Version: m.Version, Hash: m.Hash}
	}
	answer := s.compose(m.WantHeartbeats, knownSequences(m), s.pacer.answerHeartbeats(s.deps.Now(), s.traffic()))
	answer.Loans = s.loansFor(peer.Name())
	return answer
}

// newPeerRecords returns records for an entry that has just started: stopped incarnations and a random subset of members.
func (s *Service) newPeerRecords() []memberMessage {
	var out []memberMessage
	for _, m := range s.table.StoppedMembers() {
		if len(out) < maxRecords {
			out = append(out, encodeMember(m))
		}
	}
	members := s.table.Members()
	s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.State() != member.Dead && len(out) < 2*maxRecords {
			known, _ := s.table.MemberByDigest(m.Digest())
			if known.Name() == "" {
				known = m
			}
			out = append(out, encodeMember(known))
		}
	}
	return out
}
