package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

// handshakeTimeout is how long an accepted connection may stay open before the peer has proved the key.
const handshakeTimeout = 5 * time.Second

// session is the state of one accepted connection; only the connection's reader uses it, except for authenticated.
type session struct {
	service       *Service
	clientNonce   []byte
	serverNonce   []byte
	peer          member.Member
	authenticated atomic.Bool
	limit         atomic.Int64
}

// Serve answers peers on the listener until ctx is done and then closes the listener and its connections.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if t, ok := errors.AsType[net.Error](err); ok && t.Timeout() {
				continue
			}
			cancel()
			return err
		}
		wait.Go(func() { s.serveConn(ctx, raw) })
	}
}

// serveConn serves one connection until it is closed.
func (s *Service) serveConn(ctx context.Context, raw net.Conn) {
	x := &session{service: s}
	x.limit.Store(maxHandshakeBytes)
	conn := s.newConn(raw, true, &x.limit, jsonrpc2.HandlerWithError(x.handle).SuppressErrClosed())
	timer := time.AfterFunc(handshakeTimeout, func() {
		if !x.authenticated.Load() {
			_ = conn.Close()
		}
	})
	defer timer.Stop()
	select {
	case <-ctx.Done():
		_ = conn.Close()
	case <-conn.DisconnectNotify():
	}
}

func (s *Service) newConn(raw net.Conn, accepted bool, limit *atomic.Int64, h jsonrpc2.Handler) *jsonrpc2.Conn {
	w := &countingConn{Conn: raw, counters: &s.counters, accepted: accepted, writeTimeout: s.settings.CallTimeout, idleTimeout: idleTimeout}
	stream := jsonrpc2.NewBufferedStream(w, codec{limit: limit})
	return jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(discardLogger), jsonrpc2.OnRecv(s.countLate))
}

// countLate counts answers that match no pending call; the library drops them.
func (s *Service) countLate(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response != nil && request == nil {
		s.counters.lateAnswers.Add(1)
	}
}

func (x *session) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch {
	case r.Method == "hello":
		return x.handleHello(r)
	case r.Method == "prove":
		return x.handleProve(conn, r)
	case !x.authenticated.Load():
		return nil, x.refusePeer(conn)
	}
	s := x.service
	switch r.Method {
	case "exchange":
		return handleParams(r, func(m exchangeMessage) (any, error) { return s.answerExchange(x.peer, m), nil })
	case "config":
		return handleParams(r, func(m versionMessage) (any, error) { return s.answerConfig(m) })
	case "push":
		return handleParams(r, func(m versionMessage) (any, error) { return s.handlePush(x.peer, m), nil })
	case "status":
		return handleParams(r, func(statusMessage) (any, error) { return s.answerStatus() })
	case "tickets":
		return handleParams(r, func(m ticketsMessage) (any, error) { return true, s.acceptTickets(ctx, x.peer, m.Data) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
}

func handleParams[T any](r *jsonrpc2.Request, handle func(T) (any, error)) (any, error) {
	var m T
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are missing"}
	}
	if err := json.Unmarshal(*r.Params, &m); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are malformed"}
	}
	return handle(m)
}

func (x *session) handleHello(r *jsonrpc2.Request) (any, error) {
	return handleParams(r, func(m helloMessage) (any, error) {
		x.clientNonce, x.serverNonce = m.Nonce, newNonce()
		s := x.service
		return helloMessage{
			Nonce: x.serverNonce, Proof: proof(s.settings.Key, labelServer, x.clientNonce, x.serverNonce), Member: encodeMember(s.selfMember()),
		}, nil
	})
}

func (x *session) handleProve(conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	return handleParams(r, func(m helloMessage) (any, error) {
		if !verifyProof(x.service.settings.Key, labelClient, x.clientNonce, x.serverNonce, m.Proof) {
			return nil, x.refusePeer(conn)
		}
		peer, err := m.Member.decode()
		if err != nil {
			return nil, err
		}
		x.peer = peer
		x.limit.Store(maxMessageBytes)
		x.authenticated.Store(true)
		x.service.mergeMembers([]member.Member{peer})
		return true, nil
	})
}

// refusePeer counts and logs a peer that has not proved the key and closes the connection shortly after the answer.
func (x *session) refusePeer(conn *jsonrpc2.Conn) error {
	x.service.counters.refusedConns.Add(1)
	x.service.deps.Events.Log(event.PeerRefused, "side", "server")
	time.AfterFunc(100*time.Millisecond, func() { _ = conn.Close() })
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "peer has not proved the shared key"}
}

// handlePush schedules a fetch if the pushed version is newer and answers with the local version.
func (s *Service) handlePush(peer member.Member, m versionMessage) versionMessage {
	held, _, _ := s.deps.Holder.Raw()
	if m.Version > held {
		s.scheduleFetch(peer, m.Version)
	}
	return versionMessage{Version: held}
}

func (s *Service) acceptTickets(ctx context.Context, peer member.Member, data []byte) error {
	if s.deps.AcceptTickets == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "tickets are not accepted"}
	}
	if err := s.deps.AcceptTickets(ctx, peer, data); err != nil {
		return err
	}
	s.deps.Events.Log(event.TicketsTaken, "peer", peer.Name(), "bytes", len(data))
	return nil
}
