package gossip

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/sourcegraph/jsonrpc2"
)

// statusEnvelope is what a status call and its answer's frame send besides the data, with the headers of TCP and IP.
// Like configurations these bytes do not lengthen the interval: an operator who follows a drain in a fleet of 590
// asks 589 entries each second, which is 16 times the budget.
const statusEnvelope = 60 + segmentOverhead

// Status asks the peer for its part of the fleet's status. A late answer does
// not close the connection, which the exchange goes on to use.
func (s *Service) Status(ctx context.Context, peer netip.AddrPort) ([]byte, error) {
	l := s.link(peer)
	if err := l.lock(ctx); err != nil {
		return nil, err
	}
	conn, err := l.open(ctx)
	l.unlock()
	if err != nil {
		return nil, err
	}
	s.count.status.Add(statusEnvelope)
	var out statusForm
	if err := conn.Call(ctx, "status", statusForm{}, &out); err != nil {
		return nil, fmt.Errorf("gossip: status of %s: %w", peer, err)
	}
	if len(out.Data) > maxStatus {
		return nil, fmt.Errorf("gossip: status of %s has %d bytes; at most %d are accepted", peer, len(out.Data), maxStatus)
	}
	return out.Data, nil
}

func (s *Service) ownStatus() (any, error) {
	if s.deps.Status == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no status is given here"}
	}
	data := s.deps.Status()
	if len(data) > maxStatus {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "status exceeds the size limit"}
	}
	s.count.bulk.Add(int64(len(data))*4/3 + statusEnvelope) // base64 on the wire
	return statusForm{Data: data}, nil
}
