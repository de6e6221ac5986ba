package forward

import "net/http"

// closingWriter closes the caller's connection after a response that starts before
// the request's body has been read to its end. The server would otherwise keep the
// connection of a full-duplex response open and, after callerBody.stop has interrupted
// the last read, parse the rest of the body as the next request.
type closingWriter struct {
	http.ResponseWriter
	rest *callerBody
}

// WriteHeader sends the status, with Connection: close when the body has not been read to its end.
func (e *closingWriter) WriteHeader(status int) {
	if !e.rest.reachedEOF.Load() {
		e.Header()["Connection"] = []string{"close"}
	}
	e.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (e *closingWriter) Unwrap() http.ResponseWriter { return e.ResponseWriter }
