package head

import (
	"errors"
	"io"
	"net/http"
)

// trailedBody is a body in chunks, whose end depends on its trailer section.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// CheckTrailer makes the reader of the response's body get an error that matches ErrInvalid in place of io.EOF when the
// name of a field in the trailer section is not one of HTTP.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = trailedBody{resp.Body, resp}
	}
}

// Read returns the next part of the body.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckNames(b.resp.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
