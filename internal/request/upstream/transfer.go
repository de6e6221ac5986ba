package upstream

import (
	"errors"
	"io"
	"net/http"
)

// transfer is the writing of one request to a connection.
type transfer struct {
	ended chan struct{} // ended is closed when the request has been written or writing it has failed.
	err   error         // err is read only after ended is closed.
}

func newTransfer() *transfer { return &transfer{ended: make(chan struct{})} }

// end records the result of writing the request.
func (t *transfer) end(err error) {
	t.err = err
	close(t.ended)
}

// succeeded reports whether the whole request has been written.
func (t *transfer) succeeded() bool {
	select {
	case <-t.ended:
		return t.err == nil
	default:
		return false
	}
}

// uploadBoundBody is a body that ends with its connection. When the target resets the connection while the request is
// still being written, the write gets the error of the reset and the read only an end of the bytes. So the body is
// complete only if the request has been written too; the context of the call ends a write that makes no progress.
type uploadBoundBody struct {
	io.ReadCloser
	request *transfer
}

// Read returns the next part of the body; io.EOF means that it is complete.
func (b *uploadBoundBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if <-b.request.ended; b.request.err != nil {
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// endsWithConnection reports whether the body of the response is delimited by the end of its connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength == lengthUnknown && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
