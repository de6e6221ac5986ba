package gossip

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/sourcegraph/jsonrpc2"
)

// statusOverheadBytes is the size of a status request, and of an answer without its data, including TCP/IP headers. Like
// configurations, these bytes do not lengthen the interval: an operator who follows a drain in a fleet of 590 entries
// requests the status of 589 entries each second, which takes 16 times the budget.
const statusOverheadBytes = 60 + segmentOverheadBytes

// Status requests the peer's status. Unlike call, it keeps the connection open if the answer is late, because exchanges use
// the same connection.
func (s *Service) Status(ctx context.Context, peer netip.AddrPort) ([]byte, error) {
	conn := s.peerConn(peer)
	if err := conn.lock(ctx); err != nil {
		return nil, err
	}
	raw, err := conn.ensureOpen(ctx)
	conn.unlock()
	if err != nil {
		return nil, err
	}
	s.counters.statusBytes.Add(statusOverheadBytes)
	var out statusMessage
	if err := raw.Call(ctx, "status", statusMessage{}, &out); err != nil {
		return nil, fmt.Errorf("gossip: status of %s: %w", peer, err)
	}
	if len(out.Data) > maxStatusBytes {
		return nil, fmt.Errorf("gossip: status of %s has %d bytes; at most %d are accepted", peer, len(out.Data), maxStatusBytes)
	}
	return out.Data, nil
}

func (s *Service) answerStatus() (any, error) {
	if s.deps.Status == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "status is not available"}
	}
	data := s.deps.Status()
	if len(data) > maxStatusBytes {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "status exceeds the size limit"}
	}
	s.counters.unbudgetedBytes.Add(int64(len(data))*4/3 + statusOverheadBytes) // base64 in the message
	return statusMessage{Data: data}, nil
}
