package gossip

import (
	"context"

	"tamarackspool/internal/fleet/member"
)

// exchange swaps state with the peer behind the link; what either side lacks is sent in one second call.
func (s *Service) exchange(ctx context.Context, l *link, fresh bool) error {
	if err := l.connect(ctx); err != nil {
		return err
	}
	name := l.name()
	s.mu.Lock()
	request := s.compose(nil, nil, s.pace.beats)
	request.Fresh = fresh
	s.mu.Unlock()
	answer, err := s.swap(ctx, l, name, request)
	if err != nil {
		return err
	}
	s.mu.Lock()
	second := exchangeForm{Version: request.Version, Hash: request.Hash, Members: s.records(answer.Want), Want: s.wanted()}
	s.mu.Unlock()
	if len(second.Members)+len(second.Want) == 0 {
		return nil
	}
	_, err = s.swap(ctx, l, name, second)
	return err
}

func (s *Service) swap(ctx context.Context, l *link, name string, request exchangeForm) (exchangeForm, error) {
	sent := s.deps.Now()
	var answer exchangeForm
	if err := l.call(ctx, "exchange", request, &answer); err != nil {
		return answer, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok := s.table.Member(name)
	if !ok {
		peer = member.New(member.Fields{Name: name, Peer: l.address})
	}
	s.absorb(peer, answer)
	if len(answer.Loans) > 0 {
		s.loans[name] = takeLoans(name, s.settings.Self.Name(), answer.Loans, sent)
	}
	if answer.Sure {
		s.table.Confirm()
		s.sureAt = sent
	}
	s.deps.Holder.Raise(answer.Floor)
	return answer, nil
}

// reply answers an exchange of the peer behind a connection.
func (s *Service) reply(peer member.Member, m exchangeForm) exchangeForm {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.table.Member(peer.Name()); ok && known.Incarnation() == peer.Incarnation() {
		peer = known
	}
	s.absorb(peer, m)
	answer := s.answerTo(peer, m)
	answer.Floor = s.table.Floor(peer.Name())
	answer.Sure = s.table.Current(peer.Name(), peer.Incarnation())
	answer.Members = append(answer.Members, s.records(m.Want)...)
	if !answer.Sure {
		if current, ok := s.table.Member(peer.Name()); ok {
			answer.Members = append(answer.Members, formOf(current))
		}
	}
	if m.Fresh {
		answer.Members = append(answer.Members, s.introduction()...)
	}
	return answer
}

// answerTo composes the usual answer, or a short one to a call that carries only records.
func (s *Service) answerTo(peer member.Member, m exchangeForm) exchangeForm {
	if len(m.Beats) == 0 {
		return exchangeForm{Version: m.Version, Hash: m.Hash}
	}
	answer := s.compose(m.Doubt, toldBy(m), s.pace.allow(s.deps.Now(), s.traffic()))
	answer.Loans = s.loansFor(peer.Name())
	return answer
}

// introduction returns records for an entry with empty memory: stopped incarnations and a part of the members.
func (s *Service) introduction() []memberForm {
	var out []memberForm
	for _, m := range s.table.Stopped() {
		if len(out) < maxMembers {
			out = append(out, formOf(m))
		}
	}
	members := s.table.Members()
	s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.State() != member.Dead && len(out) < 2*maxMembers {
			known, _ := s.table.Known(m.Digest())
			if known.Name() == "" {
				known = m
			}
			out = append(out, formOf(known))
		}
	}
	return out
}
