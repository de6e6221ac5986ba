package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"tamarackspool/internal/standin/caller"
)

// The pace of a long transfer: a few bytes at a time, often enough for the
// progress deadline of 5 s. The read is larger than all buffers on its way.
const (
	flightPace  = 50 * time.Millisecond
	flightChunk = 4 << 10
	flightRead  = 24 << 20
	flightTime  = "40000" // milliseconds
)

// flight is a request that stays in flight until the script lets it finish.
type flight struct {
	cancel context.CancelFunc
	finish chan struct{}
	done   chan struct{}
	err    error
}

// flight starts a long transfer through an entry, or lets one finish and
// requires that its answer is complete.
func (s *stage) flight(_ io.Writer, args []string) error {
	if len(args) == 2 && args[0] == "finish" {
		f, ok := s.flights[args[1]]
		if !ok {
			return errUsage
		}
		close(f.finish)
		<-f.done
		return f.err
	}
	if len(args) != 3 || (args[0] != "upload" && args[0] != "read") {
		return errUsage
	}
	ctx, cancel := context.WithCancel(s.live.Context())
	f := &flight{cancel: cancel, finish: make(chan struct{}), done: make(chan struct{})}
	s.flights[args[1]] = f
	begun := make(chan struct{})
	go func() {
		defer close(f.done)
		f.err = s.transfer(ctx, f, begun, caller.Kind(args[0]), args[1], args[2])
	}()
	select {
	case <-begun:
		return nil
	case <-f.done:
		return fmt.Errorf("scenario: %s ended before it was let to: %v", args[1], f.err)
	}
}

// transfer sends the request and requires a complete answer to it.
func (s *stage) transfer(ctx context.Context, f *flight, begun chan struct{}, kind caller.Kind, name, entry string) error {
	method, size, body := http.MethodGet, int64(flightRead), io.Reader(http.NoBody)
	if kind == caller.Upload {
		method, size, body = http.MethodPost, 64, &trickle{f: f, begun: begun, left: 100}
	}
	url := fmt.Sprintf("http://%s.entry:80/run/%s/%s/%s?size=%d", entry, s.live.Service(caller.Upload), kind, name, size)
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	req.Header = http.Header{"Tenant": {s.live.Tenant()}, "Timeout": {flightTime}}
	resp, err := s.client(entry).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got := int64(0)
	if kind == caller.Read {
		if got, err = f.slowly(resp.Body, begun); err != nil {
			return err
		}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return err
	}
	if v := resp.Header.Get("Verdict"); v != "ran" || resp.Header.Get("Served-Id") != name || got+n != size {
		return fmt.Errorf("scenario: %s: verdict %q, %s, answer for %q, %d of %d bytes",
			name, v, resp.Header.Get("Reason"), resp.Header.Get("Served-Id"), got+n, size)
	}
	return nil
}

// slowly reads a chunk at a time until the flight may finish.
func (f *flight) slowly(r io.Reader, begun chan struct{}) (int64, error) {
	total := int64(0)
	t := time.NewTicker(flightPace)
	defer t.Stop()
	for {
		n, err := io.CopyN(io.Discard, r, flightChunk)
		total += n
		if err != nil {
			return total, err
		}
		if total == flightChunk {
			close(begun)
		}
		select {
		case <-f.finish:
			return total, nil
		case <-t.C:
		}
	}
}

// trickle is a request body that goes on until its flight may finish.
type trickle struct {
	f     *flight
	begun chan struct{}
	sent  int
	left  int // left is the number of bytes after the flight may finish.
}

// Read returns a chunk at the flight's pace.
func (t *trickle) Read(p []byte) (int, error) {
	select {
	case <-t.f.finish:
		n := min(len(p), t.left)
		t.left -= n
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	case <-time.After(flightPace):
	}
	if t.sent++; t.sent == 2 {
		close(t.begun)
	}
	return min(len(p), flightChunk), nil
}
