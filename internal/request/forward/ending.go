package forward

import "net/http"

// ending closes the caller's connection after a response that starts before the
// request's body has been read to its end. The server would keep the connection
// of a full-duplex response and, once stop has interrupted its last read, take
// the rest of the body for the next request.
type ending struct {
	http.ResponseWriter
	rest *source
}

// WriteHeader sends the status.
func (e *ending) WriteHeader(status int) {
	if !e.rest.ended.Load() {
		e.Header()["Connection"] = []string{"close"}
	}
	e.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (e *ending) Unwrap() http.ResponseWriter { return e.ResponseWriter }
