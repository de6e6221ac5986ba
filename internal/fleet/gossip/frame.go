package gossip

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// segmentOverheadBytes is the size of the headers of TCP over IPv4 with timestamps, assumed once for each message.
const segmentOverheadBytes = 52

// codec is the varint framing of jsonrpc2 with a limit on the message size, which the library does not provide.
type codec struct {
	jsonrpc2.VarintObjectCodec
	limit *atomic.Int64
}

// ReadObject reads one message; it fails if the message exceeds the limit.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if limit := c.limit.Load(); n > uint64(limit) {
		return fmt.Errorf("gossip: message of %d bytes exceeds the limit of %d", n, limit)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// countingConn counts the bytes of a connection and sets deadlines for reads and writes.
type countingConn struct {
	net.Conn
	counters     *counters
	accepted     bool // accepted means that the peer opened the connection; the local entry only answers on it
	writeTimeout time.Duration
	idleTimeout  time.Duration
}

// Read reads from the connection and fails if no data arrives within the idle timeout.
func (w *countingConn) Read(p []byte) (int, error) {
	if err := w.SetReadDeadline(time.Now().Add(w.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Read(p)
	w.counters.receivedBytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and fails if the write does not complete within the write timeout.
func (w *countingConn) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	w.counters.sentBytes.Add(int64(n) + segmentOverheadBytes)
	w.counters.messages.Add(1)
	if w.accepted {
		w.counters.answerBytes.Add(int64(n) + segmentOverheadBytes)
		w.counters.answers.Add(1)
	}
	return n, err
}

// counters are the totals of a service; they are safe for concurrent use.
type counters struct {
	sentBytes, receivedBytes, messages, unbudgetedBytes, statusBytes          atomic.Int64 // statusBytes counts status requests only
	lateAnswers, refusedConns, staleConfigs, timedOutCalls, unknownHeartbeats atomic.Int64
	fetches, failedFetches, droppedFetches, skippedExchanges                  atomic.Int64
	answerBytes, answers                                                      atomic.Int64
}

// Counts are the totals of a service since its start.
type Counts struct {
	SentBytes, ReceivedBytes int64 // SentBytes includes an estimate of the TCP/IP headers
	UnbudgetedBytes          int64 // bytes of configurations and status answers among those sent; they are outside the budget
	Messages                 int64 // messages sent
	LateAnswers              int64 // answers that match no pending call
	RefusedConns             int64 // connections refused because of a wrong key
	StaleConfigs             int64 // fetched configurations that were not newer than the local one
	TimedOutCalls            int64 // calls without an answer within the deadline
	UnknownHeartbeats        int64 // heartbeats whose digest matched no known record
	Fetches                  int64 // configuration fetches
	FailedFetches            int64 // configuration fetches that failed
	DroppedFetches           int64 // configuration fetches dropped because another one was pending
	SkippedExchanges         int64 // exchanges not started because too many were in flight
}

// Counts returns the totals since the start of the service.
func (s *Service) Counts() Counts {
	c := &s.counters
	return Counts{
		SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), UnbudgetedBytes: c.unbudgetedBytes.Load(), Messages: c.messages.Load(),
		LateAnswers: c.lateAnswers.Load(), RefusedConns: c.refusedConns.Load(), StaleConfigs: c.staleConfigs.Load(),
		TimedOutCalls: c.timedOutCalls.Load(), UnknownHeartbeats: c.unknownHeartbeats.Load(),
		Fetches: c.fetches.Load(), FailedFetches: c.failedFetches.Load(), DroppedFetches: c.droppedFetches.Load(), SkippedExchanges: c.skippedExchanges.Load(),
	}
}
