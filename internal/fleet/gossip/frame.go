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

// segmentOverhead is what TCP over IPv4 with timestamps adds to each message on the wire.
const segmentOverhead = 52

// codec is jsonrpc2's varint framing with a limit on the size of a message, which that library lacks.
type codec struct {
	jsonrpc2.VarintObjectCodec
	limit *atomic.Int64
}

// ReadObject reads one message of at most the limit.
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

// wire counts the bytes of a connection and bounds how long a write or the wait for a message may take.
type wire struct {
	net.Conn
	count    *counters
	accepted bool // accepted means that the peer opened the connection, so that this entry only answers on it
	write    time.Duration
	idle     time.Duration
}

// Read reads from the connection and fails after the idle time without a byte.
func (w *wire) Read(p []byte) (int, error) {
	if err := w.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Read(p)
	w.count.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and fails when the peer takes nothing for the write deadline.
func (w *wire) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.write)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	w.count.sent.Add(int64(n) + segmentOverhead)
	w.count.messages.Add(1)
	if w.accepted {
		w.count.answered.Add(int64(n) + segmentOverhead)
		w.count.answers.Add(1)
	}
	return n, err
}

// counters are the totals of a service; they are safe for concurrent use.
type counters struct {
	sent, received, messages, bulk, status atomic.Int64 // status is the bytes of status calls made
	late, refused, stale, silent, unknowns atomic.Int64
	fetched, failed, dropped, skipped      atomic.Int64
	answered, answers                      atomic.Int64
}

// Counts are the totals of a service since its start.
type Counts struct {
	Sent, Received int64 // bytes on the wire
	Bulk           int64 // bytes of configurations among those sent
	Messages       int64 // messages sent
	Late           int64 // answers that matched no open call
	Refused        int64 // connections refused for a wrong key
	Stale          int64 // configurations that were not newer
	Silent         int64 // calls without an answer within the deadline
	Unknown        int64 // heartbeats without a known record
	Fetched        int64 // configurations asked for
	Failed         int64 // configurations asked for without an answer
	Dropped        int64 // hints of a newer version that were dropped, because a fetch was already waiting
	Skipped        int64 // exchanges not started, because too many were open
}

// Counts returns the totals since the start.
func (s *Service) Counts() Counts {
	c := &s.count
	return Counts{
		Sent: c.sent.Load(), Received: c.received.Load(), Bulk: c.bulk.Load(), Messages: c.messages.Load(),
		Late: c.late.Load(), Refused: c.refused.Load(), Stale: c.stale.Load(),
		Silent: c.silent.Load(), Unknown: c.unknowns.Load(),
		Fetched: c.fetched.Load(), Failed: c.failed.Load(), Dropped: c.dropped.Load(), Skipped: c.skipped.Load(),
	}
}
