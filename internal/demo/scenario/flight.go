package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"tamarackspool/internal/standin/caller"
)

// The parameters of a held transfer: small chunks, sent often enough for the
// entry's progress deadline of 5 s. The read is larger than all buffers between target
// and caller, so that it can't complete in them.
const (
	chunkInterval     = 50 * time.Millisecond
	chunkSize         = 4 << 10
	readSize          = 24 << 20
	transferTimeoutMs = "40000"
)

// heldTransfer is a request that is kept in flight until the script lets it finish.
type heldTransfer struct {
	cancel context.CancelFunc
	finish chan struct{}
	done   chan struct{}
	err    error
}

// flight starts a held transfer through an entry, or lets one finish and requires
// that its response is complete.
func (s *scriptState) flight(_ io.Writer, args []string) error {
	if len(args) == 2 && args[0] == "finish" {
		f, ok := s.transfers[args[1]]
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
	f := &heldTransfer{cancel: cancel, finish: make(chan struct{}), done: make(chan struct{})}
	s.transfers[args[1]] = f
	started := make(chan struct{})
	go func() {
		defer close(f.done)
		f.err = s.transfer(ctx, f, started, caller.Kind(args[0]), args[1], args[2])
	}()
	select {
	case <-started:
		return nil
	case <-f.done:
		return fmt.Errorf("scenario: %s ended before the script let it finish: %v", args[1], f.err)
	}
}

// transfer sends the request, closes started once data flows, and requires a complete response.
func (s *scriptState) transfer(ctx context.Context, f *heldTransfer, started chan struct{}, kind caller.Kind, name, entry string) error {
	method, size, body := http.MethodGet, int64(readSize), io.Reader(http.NoBody)
	if kind == caller.Upload {
		method, size, body = http.MethodPost, 64, &slowBody{transfer: f, started: started, remaining: 100}
	}
	url := fmt.Sprintf("http://%s.entry:80/run/%s/%s/%s?size=%d", entry, s.live.ServiceFor(caller.Upload), kind, name, size)
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	req.Header = http.Header{"Tenant": {s.live.Tenant()}, "Timeout": {transferTimeoutMs}}
	resp, err := s.newClient(entry).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got := int64(0)
	if kind == caller.Read {
		if got, err = f.readSlowly(resp.Body, started); err != nil {
			return err
		}
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return err
	}
	if v := resp.Header.Get("Verdict"); v != "ran" || resp.Header.Get("Served-Id") != name || got+n != size {
		return fmt.Errorf("scenario: %s: verdict %q, %s, response to %q, %d of %d bytes",
			name, v, resp.Header.Get("Reason"), resp.Header.Get("Served-Id"), got+n, size)
	}
	return nil
}

// readSlowly reads one chunk per chunkInterval until the transfer may finish and
// returns the number of bytes read.
func (f *heldTransfer) readSlowly(r io.Reader, started chan struct{}) (int64, error) {
	total := int64(0)
	t := time.NewTicker(chunkInterval)
	defer t.Stop()
	for {
		n, err := io.CopyN(io.Discard, r, chunkSize)
		total += n
		if err != nil {
			return total, err
		}
		if total == chunkSize {
			close(started)
		}
		select {
		case <-f.finish:
			return total, nil
		case <-t.C:
		}
	}
}

// slowBody is a request body that provides data until its transfer may finish.
type slowBody struct {
	transfer   *heldTransfer
	started    chan struct{}
	chunksSent int
	remaining  int // remaining is the number of bytes to send after the transfer may finish.
}

// Read returns one chunk per chunkInterval.
func (t *slowBody) Read(p []byte) (int, error) {
	select {
	case <-t.transfer.finish:
		n := min(len(p), t.remaining)
		t.remaining -= n
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	case <-time.After(chunkInterval):
	}
	if t.chunksSent++; t.chunksSent == 2 {
		close(t.started)
	}
	return min(len(p), chunkSize), nil
}
