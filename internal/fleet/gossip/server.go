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

// greetingLimit is how long a connection may stay open without proving the key.
const greetingLimit = 5 * time.Second

// session is the state of one accepted connection; the connection's reader alone uses it.
type session struct {
	service *Service
	client  []byte
	server  []byte
	peer    member.Member
	proved  atomic.Bool
	limit   atomic.Int64
}

// Serve answers peers on the listener until the context ends and then closes the listener and its connections.
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
		wait.Go(func() { s.accept(ctx, raw) })
	}
}

// accept runs one connection until it closes.
func (s *Service) accept(ctx context.Context, raw net.Conn) {
	x := &session{service: s}
	x.limit.Store(maxGreeting)
	conn := s.newConn(raw, true, &x.limit, jsonrpc2.HandlerWithError(x.handle).SuppressErrClosed())
	timer := time.AfterFunc(greetingLimit, func() {
		if !x.proved.Load() {
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
	w := &wire{Conn: raw, count: &s.count, accepted: accepted, write: s.settings.Deadline, idle: idleLimit}
	stream := jsonrpc2.NewBufferedStream(w, codec{limit: limit})
	return jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(quiet), jsonrpc2.OnRecv(s.countLate))
}

// countLate counts answers that belong to no open call; the library drops them.
func (s *Service) countLate(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response != nil && request == nil {
		s.count.late.Add(1)
	}
}

func (x *session) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch {
	case r.Method == "hello":
		return x.hello(r)
	case r.Method == "prove":
		return x.prove(conn, r)
	case !x.proved.Load():
		return nil, x.refuse(conn)
	}
	s := x.service
	switch r.Method {
	case "exchange":
		return answer(r, func(m exchangeForm) (any, error) { return s.reply(x.peer, m), nil })
	case "config":
		return answer(r, func(m versionForm) (any, error) { return s.configuration(m) })
	case "push":
		return answer(r, func(m versionForm) (any, error) { return s.pushed(x.peer, m), nil })
	case "status":
		return answer(r, func(statusForm) (any, error) { return s.ownStatus() })
	case "tickets":
		return answer(r, func(m ticketsForm) (any, error) { return true, s.takeTickets(ctx, x.peer, m.Data) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
}

func answer[T any](r *jsonrpc2.Request, f func(T) (any, error)) (any, error) {
	var m T
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are missing"}
	}
	if err := json.Unmarshal(*r.Params, &m); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are malformed"}
	}
	return f(m)
}

func (x *session) hello(r *jsonrpc2.Request) (any, error) {
	return answer(r, func(m helloForm) (any, error) {
		x.client, x.server = m.Nonce, newNonce()
		s := x.service
		return helloForm{
			Nonce: x.server, Proof: proof(s.settings.Key, labelServer, x.client, x.server), Member: formOf(s.selfMember()),
		}, nil
	})
}

func (x *session) prove(conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	return answer(r, func(m helloForm) (any, error) {
		if !proves(x.service.settings.Key, labelClient, x.client, x.server, m.Proof) {
			return nil, x.refuse(conn)
		}
		peer, err := m.Member.member()
		if err != nil {
			return nil, err
		}
		x.peer = peer
		x.limit.Store(maxFrame)
		x.proved.Store(true)
		x.service.merge([]member.Member{peer})
		return true, nil
	})
}

// refuse counts and logs a peer without the key; the connection closes after the answer.
func (x *session) refuse(conn *jsonrpc2.Conn) error {
	x.service.count.refused.Add(1)
	x.service.deps.Events.Log(event.PeerRefused, "side", "server")
	time.AfterFunc(100*time.Millisecond, func() { _ = conn.Close() })
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the peer key is not proved"}
}

// pushed takes note of a new version and answers with the version held.
func (s *Service) pushed(peer member.Member, m versionForm) versionForm {
	held, _, _ := s.deps.Holder.Raw()
	if m.Version > held {
		s.ask(peer, m.Version)
	}
	return versionForm{Version: held}
}

func (s *Service) takeTickets(ctx context.Context, peer member.Member, data []byte) error {
	if s.deps.Tickets == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "tickets are not taken here"}
	}
	if err := s.deps.Tickets(ctx, peer, data); err != nil {
		return err
	}
	s.deps.Events.Log(event.TicketsTaken, "peer", peer.Name(), "bytes", len(data))
	return nil
}
