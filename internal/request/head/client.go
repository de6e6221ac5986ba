package head

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Do sends a request to a service and returns the response as client.Do does. When the head of the response or of an interim
// one is not one of HTTP/1.1, it closes the connection and returns an error that matches ErrInvalid. Folded lines
// are joined to the field before them, as HTTP/1.1 allows, and trailer sections are not checked: the body is whole.
func Do(client *http.Client, r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return CheckNames(http.Header(h)) }}
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if _, malformed := errors.AsType[textproto.ProtocolError](err); malformed {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err != nil {
		return nil, err
	}
	if err := errors.Join(CheckStatus(resp.StatusCode), CheckNames(resp.Header)); err != nil {
		_ = resp.Body.Close()
		client.CloseIdleConnections() // The connection of a response without a body is idle already.
		return nil, err
	}
	return resp, nil
}
